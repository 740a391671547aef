#!/usr/bin/env bash
# Builds the programs of the review's scripts, with their stand-ins, into
# target/review.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in [1-5]/*.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "../target/review/$name" "$source" scene.cc
done
