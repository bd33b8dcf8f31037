#!/bin/bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. The deploy file's build comes first:
# the cases start target/quayd.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  if [ -f "$source" ]; then
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" -o "target/review-2/case-$number" -pthread
  fi
done
