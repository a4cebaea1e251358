#!/usr/bin/env bash
# Open connections to the store that are quiet go silent; later the configuration changes.
cd "$(dirname "$0")" || exit 2
exec ../bin/standin -case silent-store -dir . -program ../../target/masticbank
