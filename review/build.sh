#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -o "target/review/case-$name" "$source" -lboost_json -pthread &
done
for job in $(jobs -p); do wait "$job"; done
