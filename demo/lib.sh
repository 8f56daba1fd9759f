# Shell functions that don't depend on the demo's deployment: steps, checks, processes.

declare -A pids=()
n_checks=0
n_failed=0
demo_started=$SECONDS

step() { printf '\n== %s\n' "$1"; }
note() { printf '   %s\n' "$1"; }
show() { sed 's/^/   | /'; }

# check TEXT COMMAND...: passes if the command succeeds.
check() {
  local text=$1
  shift
  n_checks=$((n_checks + 1))
  if "$@"; then
    printf '   [ok]   %s\n' "$text"
  else
    n_failed=$((n_failed + 1))
    printf '   [FAIL] %s\n' "$text"
    return 1
  fi
}

# succeeds_within SECONDS COMMAND...: retries the command until it succeeds.
succeeds_within() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.2
  done
}

# wait_for TEXT SECONDS COMMAND...: a check that retries; the bound only keeps it from hanging.
wait_for() {
  local text=$1
  shift
  check "$text" succeeds_within "$@"
}

# require TEXT SECONDS COMMAND...: as wait_for, but a failure ends the demo.
require() { wait_for "$@" || exit 1; }

# start NAME COMMAND...: in the background, with its own output and log.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
  pids[$name]=$!
}

is_running() { [ -n "${pids[$1]:-}" ] && kill -0 "${pids[$1]}" 2>/dev/null; }

# stop_gracefully NAME...: SIGTERM to all, then each must end by itself with exit code 0.
stop_gracefully() {
  local name bad=0
  for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null; done
  for name in "$@"; do
    if ! reap "$name" 40; then
      note "$name did not stop as it should (exit ${last_exit})"
      bad=1
    fi
  done
  return $bad
}

# reap NAME SECONDS: waits for a process, then kills it; its exit code is in last_exit.
reap() {
  local name=$1 deadline=$((SECONDS + $2)) pid=${pids[$1]}
  while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.05; done
  if kill -0 "$pid" 2>/dev/null; then
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    last_exit="none: still running, killed"
    unset "pids[$name]"
    return 1
  fi
  wait "$pid" 2>/dev/null
  last_exit=$?
  unset "pids[$name]"
  [ "$last_exit" -eq 0 ]
}

# json EXPRESSION: evaluates a Python expression on d, the JSON from standard input.
json() { python3 -c 'import json,sys; d=json.load(sys.stdin); print(eval(sys.argv[1]))' "$1" 2>/dev/null; }

demo_end() {
  local code=$1 name
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null; done
  local deadline=$((SECONDS + 5))
  for name in "${!pids[@]}"; do
    while kill -0 "${pids[$name]}" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do sleep 0.05; done
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  if [ "$code" -eq 0 ] && [ -z "${DEMO_KEEP:-}" ]; then
    rm -rf "$work_dir"
  else
    printf '\nSettings and logs: %s\n' "$work_dir"
  fi
  exit "$code"
}

finish() {
  printf '\n%d checks, %d failed, %d s\n' "$n_checks" "$n_failed" $((SECONDS - demo_started))
  [ "$n_failed" -eq 0 ] && exit 0
  exit 1
}
