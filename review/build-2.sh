#!/bin/sh
# The stand-ins of the cases 6 and up are Python files that need the standard library alone: checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
test -x ../.venv/bin/python || exit 1
exec ../.venv/bin/python -B -c "import standins2"
