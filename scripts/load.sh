#!/usr/bin/env bash
# Runs one load scenario against a cluster of separate processes.
#
# usage: scripts/load.sh FLEET INSTANCES SCENARIO REPORT_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/cluster.sh "$1" "$2" bash -c \
  'bin/masticctl load "'"$3"'" $TARGETS --control "$CONTROL" --report "'"$4"'" --quiet'
