# Sourced by the other scripts; not run by itself.

# Prints how many compilers or linters may run at once: no more than the
# processors, and no more than the free memory carries at $1 MB each.
# LAPISHATCH_JOBS overrides it.
bounded_jobs() {
  local each_mb=$1 by_memory
  if [ -n "${LAPISHATCH_JOBS:-}" ]; then
    echo "$LAPISHATCH_JOBS"
    return
  fi
  by_memory=$(awk -v each="$each_mb" '/^MemAvailable:/ { print int($2 / 1024 / each) }' /proc/meminfo)
  [ "$by_memory" -ge 1 ] || by_memory=1
  [ "$by_memory" -lt "$(nproc)" ] && echo "$by_memory" || nproc
}

# Prints the lines of KNOWN-RED.txt: `folder: test case | cause | issue`.
known_red() {
  [ -f KNOWN-RED.txt ] || return 0
  grep -v -e '^#' -e '^[[:space:]]*$' KNOWN-RED.txt || true
}
