#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/. They need a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
"${CXX:-g++}" "${flags[@]}" -c review/stage-3/stage.cc -o build-review-3/stage.o
for source in review/stage-3/*.cc; do
  name=$(basename "$source" .cc)
  if [ "$name" != stage ]; then
    "${CXX:-g++}" "${flags[@]}" "$source" build-review-3/stage.o -o "build-review-3/$name"
  fi
done
