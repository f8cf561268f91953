#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps:src:review
python3 -c "import site_3" || exit 2
exec python3 review/13/case.py
