#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd standin
GO111MODULE=off GOWORK=off GOFLAGS= go build -o ../bin/standin .
