#!/usr/bin/env bash
# Runs clang-tidy on the library, adapter, programs, stand-ins and samples. Files with C++20 coroutines are excluded:
# clang-tidy 14 can't parse the coroutine support of Boost.Asio 1.74 with libstdc++ 12.
set -euo pipefail
build=${1:-build}

mapfile -t coroutine_headers < <(git grep -lE 'asio::awaitable|co_await' -- 'peridotquay/*.h' 'platform/*.h' 'standins/*.h' 'bench/*.h' || true)
files=()
while read -r file; do
  if grep -qE 'co_await|co_return|asio::awaitable' "$file"; then continue; fi
  skip=0
  for header in "${coroutine_headers[@]}"; do
    if grep -qF "\"$header\"" "$file"; then skip=1; fi
  done
  if [ "$skip" = 0 ]; then files+=("$file"); fi
done < <(git ls-files 'peridotquay/*.cpp' 'platform/*.cpp' 'programs/*.cpp' 'standins/*.cpp' 'samples/*.cpp')
echo "clang-tidy: ${#files[@]} files"
[ "${#files[@]}" -gt 0 ] || exit 0
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated\|^Suppressed\|^Use -header' >&2)
echo "clang-tidy: no warnings"
