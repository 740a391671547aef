#!/usr/bin/env bash
# Builds the programs of cases 11 to 14, with their stand-ins, into
# target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
for part in http store engines fleet scene crowd; do
  "${CXX:-g++}" "${flags[@]}" -c "review/drill/$part.cc" -o "$out/$part.o"
  objects+=("$out/$part.o")
done
for source in review/1[1-4]/*.cc; do
  "${CXX:-g++}" "${flags[@]}" "$source" "${objects[@]}" \
    -o "$out/$(basename "$source" .cc)"
done
