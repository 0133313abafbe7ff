#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $flags -c review/stage/stage.cc -o target/review/stage.o
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" target/review/stage.o -o "target/review/case-$number"
done
