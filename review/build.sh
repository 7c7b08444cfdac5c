#!/bin/sh
# Builds what the cases start, after the build of the deploy file: the appliance's pinned libraries, which that
# build leaves out, and the stand-ins (the project's own and those of review/lib), which are Python only.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -c 'import click, pydantic' 2>/dev/null || .venv/bin/pip -q install -r requirements-appliance.txt
.venv/bin/python -m compileall -q brackenlane review
