#!/usr/bin/env bash
# Checks format and naming, builds with warnings as errors, and runs all tests
# plain and under the address and undefined-behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh plain
scripts/lint.sh
ctest --test-dir build --output-on-failure -j "$(nproc)"
scripts/build.sh sanitize
ctest --test-dir build-sanitize --output-on-failure -j "$(nproc)"
