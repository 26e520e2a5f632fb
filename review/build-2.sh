#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python, run by the interpreter that the
# build of the deploy file leaves. No package, no network.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/standins2.py
