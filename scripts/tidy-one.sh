#!/usr/bin/env bash
# Runs clang-tidy on one source file and prints its findings on failure. A
# clean result is kept under build/tidy by the digest of the file, the project
# headers and the checks, so that an unchanged unit is not analysed again.
set -euo pipefail
unit="$1"
digest="$( { cat "$unit" .clang-tidy; git ls-files -s --cached 'packages/*.h' 'platform/*.h'; git diff -- 'packages/*.h' 'platform/*.h'; } | sha256sum | cut -c1-32)"
stamp="build/tidy/${unit//\//_}.$digest"
[ -e "$stamp" ] && exit 0
if ! output="$(clang-tidy -p build --quiet "$unit" 2>&1)"; then
  printf '%s\n' "$output"
  exit 1
fi
mkdir -p build/tidy
touch "$stamp"
