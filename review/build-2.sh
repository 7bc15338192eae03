#!/usr/bin/env bash
# Checks that the stand-ins of the scripts in review/6 to review/10 can be loaded.
#
# They are Python and need only the libraries that the build of deploy/system.toml puts
# into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD/review" python3 -W ignore -c "import standins_2"
for case in review/[6-9]/*.py review/10/*.py; do
    if [ -e "$case" ]; then
        python3 -m py_compile "$case"
    fi
done
