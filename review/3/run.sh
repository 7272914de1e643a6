#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
test -x .venv/bin/python || exit 2
exec timeout -k 2 118 .venv/bin/python "$here/test.py"
