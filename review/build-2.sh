#!/bin/sh
# Builds what the cases 6 to 10 start, after the `build` of deploy/balancer.toml: the libraries of the appliance, which
# that build leaves out, and the byte code of the program, its stand-ins (brackenlane/lab/stand_ins) and those of the cases.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import click, pydantic' 2>/dev/null || .venv/bin/pip -q install -r requirements-appliance.txt
.venv/bin/python -m compileall -q brackenlane review/lib2 review/6 review/7 review/8 review/9 review/10
