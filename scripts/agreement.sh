#!/usr/bin/env bash
# Runs one trial against nine entry instances in separate processes.
#
# usage: scripts/agreement.sh publish|race|away|orders|kill|roll|use
#
# It does not build the programs: run `make build` first. BASE_PORT is the first
# port, 12000 by default.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly COUNT=9
export BASE_PORT=${BASE_PORT:-12000}

if [ "${1:-}" != inside ]; then
  what=${1:?publish, race, away, orders, kill, roll or use}
  case $what in
    away) export LISTED=5 ;;
    roll) export LISTED=$COUNT ;;
  esac
  exec scripts/cluster.sh asistente "$COUNT" scripts/agreement.sh inside "$what"
fi

# From here on the script runs as the command of cluster.sh, which has started
# the instances.
read -ra first <<<"$PIDS"
pids=()
load=
finish() {
  if [ -n "$load" ]; then kill -TERM "$load" 2>/dev/null || true; fi
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  wait || true
}
trap finish EXIT

# addresses N prints the flags for the addresses of the first N instances, whether
# or not they are running.
addresses() {
  for ((i = 0; i < $1; i++)); do
    port=$((base + 3000 + 10 * i))
    echo "--target=127.0.0.1:$port" "--admin=http://127.0.0.1:$((port + 1))"
  done
}

trial() {
  local command=$1 instances=$2
  shift 2
  # shellcheck disable=SC2046
  bin/masticctl trial "$command" $(addresses "$instances") "$@"
}

# start_load N sends load to the first N instances until end_load. It must start
# the program itself: a signal sent to a subshell would not reach the program.
start_load() {
  # shellcheck disable=SC2046
  bin/masticctl trial load $(addresses "$1") ${LOAD_FLAGS:-} &
  load=$!
}

end_load() {
  local process=$load
  kill -TERM "$process"
  load=
  wait "$process"
}

log_faults() { curl -sf -o /dev/null -d "$1" "$LOG/faults"; }

milliseconds() { echo $(($(date +%s%N) / 1000000)); }

# wait_gone PID waits until the process has ended; a zombie counts as ended.
wait_gone() {
  while [ -d "/proc/$1" ] && ! grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null; do sleep 0.02; done
}

# start_timed NUMBER starts an instance and prints the time until it is ready.
start_timed() {
  local begin
  begin=$(milliseconds)
  start_instance "$1"
  wait_ready "$1" readyz
  echo "entry-$1: ready after $(($(milliseconds) - begin)) ms"
}

# status NUMBER prints the first two lines of the status of an instance.
status() {
  bin/masticctl status --admin "http://127.0.0.1:$((base + 3000 + 10 * $1 + 1))" >"$run/status"
  head -n 2 "$run/status"
}

measure_publish() { trial publish "$COUNT"; }

measure_race() { trial race "$COUNT"; }

# Starts five instances while the log is unavailable.
measure_away() {
  log_faults '{"down": true}'
  sleep 1
  for ((n = COUNT; n < COUNT + 5; n++)); do start_timed "$n"; done
  status "$COUNT"
  log_faults '{}'
}

# Sends orders while instances are killed, instances are paused for longer than
# the dispatch window, the log loses responses, and the log is unavailable.
measure_orders() {
  trial orders "$COUNT" --lasting 30s &
  load=$!
  sleep 3
  log_faults '{"lose_probability": 0.3, "duplicate_probability": 0.1}'
  kill -KILL "${first[8]}"
  sleep 2
  kill -STOP "${first[7]}"
  kill -STOP "${first[6]}"
  sleep 4
  kill -CONT "${first[7]}"
  log_faults '{"down": true}'
  sleep 3
  kill -CONT "${first[6]}"
  sleep 1
  log_faults '{"lose_probability": 0.3}'
  kill -KILL "${first[5]}"
  sleep 2
  log_faults '{}'
  kill -STOP "${first[4]}"
  sleep 3
  kill -KILL "${first[3]}"
  log_faults '{"down": true}'
  sleep 2
  kill -CONT "${first[4]}"
  log_faults '{}'
  wait "$load"
}

measure_kill() { trial kill "$COUNT" --callers "${CALLERS:-300}" --tokens 40 --pid "${first[8]}" ${LOAD_FLAGS:-}; }

# Replaces each instance under load by one with a new ID.
measure_roll() {
  start_load $((2 * COUNT))
  sleep 3
  for ((n = 0; n < COUNT; n++)); do
    begin=$(milliseconds)
    kill -TERM "${first[n]}"
    wait_gone "${first[n]}"
    echo "entry-$n: ended after $(($(milliseconds) - begin)) ms"
    start_timed $((n + COUNT))
  done
  sleep 2
  end_load
}

measure_use() {
  local processes=()
  for p in "${first[@]}"; do processes+=("--pid=$p"); done
  echo "idle: $(trial use "$COUNT" "${processes[@]}")"
  start_load "$COUNT"
  sleep 4
  echo "with 90 streams: $(trial use "$COUNT" "${processes[@]}")"
  end_load
}

"measure_$2"
