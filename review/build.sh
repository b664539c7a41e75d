#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need nothing
# beside Python's standard library, so that they are only compiled.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=target/review exec python3 -m compileall -q review
