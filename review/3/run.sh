#!/usr/bin/env bash
# Instances are cut off for some seconds; just before they are back a replica leaves.
cd "$(dirname "$0")" || exit 2
exec ../bin/standin -case partition-drain -dir . -program ../../target/masticbank
