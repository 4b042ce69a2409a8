#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start, into target/review-2/. The program under test comes from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
jobs=()
for source in review/[4-8]/*.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review/standin-2 "$source" -o "$out/case-$name" -lboost_json -lpthread &
  jobs+=($!)
done
for it in "${jobs[@]}"; do wait "$it"; done
ls "$out"
