#!/bin/sh
# Prepares the scripts of this review: the stand-ins are Python modules, so
# only their import is checked. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:src:review exec python3 -c "import site_3"
