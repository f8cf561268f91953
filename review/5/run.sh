#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=target/deps:src:review/lib python3 review/5/case.py
