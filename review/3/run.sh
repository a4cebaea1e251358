#!/usr/bin/env bash
# Instances are cut off for some seconds; just before they are back a replica leaves. Writes record.txt here.
cd "$(dirname "$0")" || exit 2
exec ../bin/standin -case partition-drain -record record.txt -program ../../target/masticbank
