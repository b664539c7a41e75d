#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/1/case.py
