# Sourced by the run.sh of each case, from the root of the repository.
# run_case CASE RECORD: starts the stand-ins of the case and the VMs that they
# write settings for, each by the command of the deploy file; restarts a process
# that ends; ends all of them. The stand-ins write into RECORD what was sent,
# answered and run. Returns what the stand-ins return.

run_case() {
  local case="$1" record="$2" trouble="${TROUBLE:-1}" tmp world result node
  [ -x target/bin/lapishatch-site ] && [ -x "target/review-3/case-$case" ] || {
    echo "build the deploy file and run review/build-3.sh first" >&2
    return 2
  }
  tmp=$(mktemp -d)
  "target/review-3/case-$case" "$tmp" "$record" "$trouble" &
  world=$!
  for _ in $(seq 100); do
    [ -e "$tmp/world-ready" ] && break
    sleep 0.1
  done
  while read -r node; do
    keep_running "$tmp" "$node" &
  done < "$tmp/sites"
  wait "$world"
  result=$?
  touch "$tmp/over"
  for signal in TERM KILL; do
    while read -r node; do
      kill -s "$signal" "$(cat "$tmp/$node.pid")" 2> /dev/null
    done < "$tmp/sites"
    [ "$signal" = TERM ] && sleep 1
  done
  wait
  if [ -n "$KEEP_LOGS" ]; then
    echo "logs: $tmp"
  else
    rm -rf "$tmp"
  fi
  return "$result"
}

# A process that ends is restarted after a second, as the platform does it.
keep_running() {
  local tmp="$1" node="$2" pid
  while [ ! -e "$tmp/over" ]; do
    LAPISHATCH_SETTINGS="$tmp/$node.toml" target/bin/lapishatch-site \
      >> "$tmp/$node.log" 2>&1 &
    pid=$!
    echo "$pid" > "$tmp/$node.pid"
    wait "$pid"
    echo "$?" >> "$tmp/$node.exits"
    sleep 1
  done
}
