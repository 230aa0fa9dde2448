#!/usr/bin/env bash
# Builds what is missing and runs the experiment tool; see scripts/bench.py.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh plain bluebellraild bluebellrailctl bluebell_load \
  standin_platform standin_engine standin_service >/dev/null
exec python3 scripts/bench.py "$@"
