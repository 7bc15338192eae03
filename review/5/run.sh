#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 PYTHONWARNINGS=ignore
python3 "$folder/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
