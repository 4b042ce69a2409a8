# Sourced by the measurements that run real processes on loopback; not run by itself. Gives a folder $work for
# their files, starts programs in the background, and stops by its process id whatever it started.
work=$(mktemp -d)
pids=()
stop_all() {
  for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME PROGRAM ARGS...: starts a program and waits for its first "listening" line.
start() {
  local name=$1
  shift
  : >"$work/$name.out"
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  local tries
  for ((tries = 0; tries < 300; ++tries)); do
    grep -q '^listening ' "$work/$name.out" && return 0
    kill -0 "${pids[-1]}" 2>/dev/null || break
    sleep 0.1
  done
  echo "$name did not start:" >&2
  tail -5 "$work/$name.err" >&2
  exit 1
}

# addresses NAME WORD: the addresses that a program announced after WORD, one a line; waits for the first.
addresses() {
  local tries
  for ((tries = 0; tries < 100; ++tries)); do
    grep -q "\b$2 " "$work/$1.out" && break
    sleep 0.1
  done
  sed -n "s/.*\\b$2 \([0-9.]*:[0-9]*\).*/\1/p" "$work/$1.out"
}

# list_vms NAME...: tells the platform's VM list of the back ends that these programs play.
list_vms() {
  local name lines=()
  for name in "$@"; do
    # This line is announced last.
    lines+=("$(curl -fsS "http://$(addresses "$name" faults)/vms")")
  done
  printf '%s\n' "${lines[@]}" | jq -sc '{vms: map(.vms) | add}' |
    curl -fsS -o "$work/vms.out" -X PUT --data-binary @- "http://$(addresses platform faults)/vms"
}
