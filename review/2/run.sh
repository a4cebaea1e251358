#!/usr/bin/env bash
# Open connections to the store that are quiet go silent; later the configuration changes. Writes record.txt here.
cd "$(dirname "$0")" || exit 2
exec ../bin/standin -case silent-store -record record.txt -program ../../target/masticbank
