#!/usr/bin/env bash
# Configures and builds one tree: scripts/build.sh [plain|sanitize|fuzz] [target...]
set -euo pipefail
cd "$(dirname "$0")/.."
variant="${1:-plain}"
shift || true
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
case "$variant" in
  plain) dir=build; options=(-DCMAKE_BUILD_TYPE=RelWithDebInfo) ;;
  sanitize) dir=build-sanitize
    options=(-DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-O1\ -g1 -DBLUEBELL_SANITIZE=ON) ;;
  fuzz) dir=build-fuzz
    options=(-DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER=clang++-14
      -DBLUEBELL_FUZZ=ON -DBLUEBELL_TESTS=OFF) ;;
  *) echo "unknown build variant '$variant'; allowed: plain, sanitize, fuzz" >&2; exit 2 ;;
esac
cmake -S . -B "$dir" -G Ninja "${options[@]}" >"/dev/null"
cmake --build "$dir" ${1:+--target "$@"}
