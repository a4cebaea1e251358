#!/bin/bash
# Builds the stand-ins of the second review's scripts: one program with the store, replicas, clients
# and the platform's part. It has no dependency besides the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin2 .
