#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
case=review/4
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$program" ] && [ -x target/review-2/case-4 ] || { echo "build first: see review/REPORT-2.md" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 "${LIMIT_S:-115}" "target/review-2/case-4" "$program" "$case/record.txt" "$folder"
code=$?
tail -n 1 "$case/record.txt"
[ "$code" -le 2 ] || code=2
exit "$code"
