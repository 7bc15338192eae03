#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 can run after the build of the deploy
# file; they are Python and need nothing else.
set -eu
cd "$(dirname "$0")"
export PYTHONWARNINGS=ignore PYTHONPATH="../target/deps:."
python3 -m py_compile harness_3.py runner_3.py 1[1-5]/*.py
python3 -c "import harness_3, runner_3"
