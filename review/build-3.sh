#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides target/quayd, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cmake -S review/lib-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_FLAGS_RELEASE='-O1' >target/review-3.cmake.log 2>&1 ||
  { cat target/review-3.cmake.log; exit 1; }
cmake --build target/review-3 -j "${JOBS:-8}"
