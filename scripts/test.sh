#!/usr/bin/env bash
# Checks format and naming, builds with warnings as errors, and runs all tests
# plain and under the address and undefined-behaviour sanitizers, then the fuzz
# targets for a minute.
set -euo pipefail
cd "$(dirname "$0")/.."

# Tests that KNOWN-RED.txt lists are passed over and printed.
known_red="$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null || true)"
exclude="$(printf '%s\n' "$known_red" | sed '/^$/d; s/\./\\./g; s/^/^/; s/$/$/' | paste -sd'|')"
run_tests() {
  ctest --test-dir "$1" --output-on-failure -j 5 ${exclude:+-E "$exclude"}
}

scripts/build.sh plain
scripts/check-wire-names.sh
scripts/lint.sh
run_tests build
python3 soak/soak.py --seed 1 --seeds 2 --seconds 15 --crash-parts
scripts/build.sh sanitize
run_tests build-sanitize
scripts/fuzz.sh 60 1
if [ -n "$known_red" ]; then
  echo "passed over (KNOWN-RED.txt):"
  printf '  %s\n' "$known_red"
fi
