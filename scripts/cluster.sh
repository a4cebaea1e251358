#!/usr/bin/env bash
# Starts stand-ins and entry instances as separate processes on the loopback
# interface, publishes a configuration, runs one command, and stops all processes.
#
# usage: scripts/cluster.sh FLEET INSTANCES COMMAND [ARGUMENT...]
#
# The command gets these environment variables:
#   TARGETS               one --target flag per instance, with its client API address
#   ADMINS                base URLs of the administration APIs
#   MASTICBANK_ADMIN      administration API of the first instance
#   MASTICBANK_ADMIN_KEY  key of the administration APIs
#   CONTROL               control address of the stand-ins
#   LOG                   URL of the log service
#   PIDS                  process IDs of the instances
#   RUN_DIR               temporary folder with settings and logs
# A bash command can start further instances with start_instance NUMBER, which
# sets pids[NUMBER]; the command has to stop them itself.
#
# Optional environment variables: BASE_PORT is the first port. LISTED is the number
# of instances beyond INSTANCES that are in the instance list from the start.
# LOG_LEVEL is the log level of the instances. EXTRA holds further settings for
# every instance, such as $'[policy]\nadmission = fifo'. STANDIN_FLAGS holds flags
# of `masticctl standin`. KEEP_LOGS is a folder to which the logs are copied.
set -euo pipefail
cd "$(dirname "$0")/.."

fleet=$1
count=$2
shift 2
base=${BASE_PORT:-9100}
run=$(mktemp -d)
export RUN_DIR=$run
export MASTICBANK_ADMIN_KEY=cluster-admin-key-0
export MASTICBANK_ADMIN=http://127.0.0.1:$((base + 3001))
pids=()
standin=

stop() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  if [ -n "$standin" ]; then
    kill -TERM "$standin" 2>/dev/null || true
    wait "$standin" || echo "stand-ins reported a defect" >&2
    tail -n 3 "$run/standin.log" | cut -c1-300
  fi
  if [ -n "${KEEP_LOGS:-}" ]; then cp "$run"/*.log "$KEEP_LOGS"/; fi
  rm -rf "$run"
}
trap stop EXIT

entries=()
for ((i = 0; i < count + ${LISTED:-0}; i++)); do
  entries+=(--entry "entry-$i,zone-$((i % 3)),127.0.0.1:$((base + 3000 + 10 * i + 2))")
done
bin/masticctl standin --fleet "$fleet" --base-port "$base" ${STANDIN_FLAGS:-} "${entries[@]}" >"$run/standin.log" 2>&1 &
standin=$!

settings() {
  cat <<INI
[instance]
id = entry-$1
zone = zone-$(($1 % 3))
[listen]
callers = 127.0.0.1:$((base + 3000 + 10 * $1))
admin = 127.0.0.1:$((base + 3000 + 10 * $1 + 1))
peers = 127.0.0.1:$((base + 3000 + 10 * $1 + 2))
[peers]
key = cluster-peer-key-00
[platform]
instance_list = http://127.0.0.1:$base
log = http://127.0.0.1:$((base + 3))
[admin]
key = $MASTICBANK_ADMIN_KEY
[log]
level = ${LOG_LEVEL:-warn}
${EXTRA:-}
INI
}

start_instance() {
  settings "$1" >"$run/entry-$1.ini"
  bin/masticbank serve --settings "$run/entry-$1.ini" >>"$run/entry-$1.log" 2>&1 &
  pids[$1]=$!
}

wait_ready() {
  for _ in $(seq 200); do
    if curl -sf -o /dev/null "http://127.0.0.1:$((base + 3000 + 10 * $1 + 1))/$2"; then return 0; fi
    sleep 0.05
  done
  echo "instance $1 is not $2" >&2
  tail -n 3 "$run/entry-$1.log" >&2
  return 1
}

sleep 0.5
TARGETS=
ADMINS=
for ((i = 0; i < count; i++)); do
  start_instance "$i"
  TARGETS="$TARGETS --target 127.0.0.1:$((base + 3000 + 10 * i))"
  ADMINS="$ADMINS http://127.0.0.1:$((base + 3000 + 10 * i + 1))"
done
for ((i = 0; i < count; i++)); do wait_ready "$i" healthz; done
bin/masticctl publish "scenarios/config/$fleet" --base 0 --wait >"$run/publish.log"
for ((i = 0; i < count; i++)); do wait_ready "$i" readyz; done
sleep 2
export -f settings start_instance wait_ready
export base run LOG=http://127.0.0.1:$((base + 3))
export TARGETS ADMINS CONTROL=127.0.0.1:$((base + 2)) PIDS="${pids[*]}"
"$@"
