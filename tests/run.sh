#!/bin/sh
# The complete test command: style, format, types, then the tests (module limits included).
set -e
ruff check .
ruff format --check .
mypy
python -m pytest
