#!/usr/bin/env bash
# Builds the fuzz targets and runs each for an equal share of the time on the
# kept corpus: scripts/fuzz.sh [seconds] [seed]. New inputs go to
# build-fuzz/corpus; an input that fails is kept in build-fuzz/.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-60}"
seed="${2:-1}"
targets=(host_message store_page)
scripts/build.sh fuzz "${targets[@]/#/fuzz_}"
for target in "${targets[@]}"; do
  mkdir -p "build-fuzz/corpus/$target"
  # ASan's own bookkeeping counts as memory, too.
  build-fuzz/bin/fuzz_"$target" -seed="$seed" -rss_limit_mb=512 \
    -malloc_limit_mb=64 -timeout=10 -max_len=70000 -print_final_stats=1 \
    -max_total_time="$((seconds / ${#targets[@]}))" \
    -artifact_prefix="build-fuzz/$target-" \
    "build-fuzz/corpus/$target" "fuzz/corpus/$target"
done
