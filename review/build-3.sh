#!/bin/bash
# Builds the stand-ins of the third review's cases into target/review-3/.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Ireview/standin-3"
g++ $flags -c -o "$out/world.o" review/standin-3/world.cc
for source in review/{9,10,11,12,13}/scenario.cc; do
  case=$(basename "$(dirname "$source")")
  g++ $flags -o "$out/case-$case" "$source" "$out/world.o" \
    -lboost_json -lpthread
done
