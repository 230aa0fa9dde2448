#!/usr/bin/env bash
# Checks format and naming of every source file; needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'packages/*.h' 'packages/*.cpp' 'platform/*.h' 'platform/*.cpp')
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 scripts/tidy-one.sh
echo "linter: ${#units[@]} units clean"
