#!/bin/sh
# Builds every stand-in that a script starts: they are plain Python, run by the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." && .venv/bin/python -m py_compile review/peers.py review/*/test.py
