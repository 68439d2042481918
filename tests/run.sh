#!/bin/sh
# The whole test command: style, types, then the tests (module limits among them).
set -e
ruff check .
ruff format --check .
mypy
python -m pytest
