#!/usr/bin/env bash
# The stand-ins of the cases are Python modules without dependencies of their own beside those of the
# deploy file. This checks that they can be imported from what its build has laid under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:.:review/common-2 PYTHONDONTWRITEBYTECODE=1 python3 -c '
import harness, stand_ins
import standins.platform_store, standins.platform_worker
'
