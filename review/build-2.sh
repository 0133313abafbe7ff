#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stage-2)
g++ "${flags[@]}" -c review/stage-2/stage.cc -o "$out/stage.o"
for source in review/6/case.cc review/7/case.cc review/8/case.cc review/9/case.cc review/10/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/stage.o" -o "$out/case-$number"
done
