#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the program: stand-ins in Python, on the standard
# library alone.  The build of deploy/balancer.toml comes first; nothing is fetched.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/stand2 review/6 review/7 review/8 review/9 review/10
