#!/usr/bin/env bash
# Checks that the stand-ins of the cases can run. They are Python, as is the project's
# own stand-in store, and use what the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 PYTHONWARNINGS=ignore
python3 -c 'import eventlet; eventlet.monkey_patch(); import review.harness'
for file in review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "the stand-ins can run"
