#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
exec ../../.venv/bin/python case.py
