#!/bin/sh
# Builds the stand-ins: Python files of the standard library alone, compiled in place.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
[ -x "$python" ] || python=python3
"$python" -m compileall -q standins.py 1 2 3
