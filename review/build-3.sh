#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. It needs nothing but the standard library.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin-3 .
