#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python sources, which need the
# libraries that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src/azurevane/_internal review
PYTHONPATH=target/deps:src:review/lib python3 - <<'PY'
from azurevane._internal.standins import site_runner, site_server, site_store
PY
