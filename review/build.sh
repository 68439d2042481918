#!/bin/sh
# Builds what the cases start: the stand-ins are Python of the standard library, so they are only compiled.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
