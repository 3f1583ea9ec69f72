#!/bin/sh
# Builds the stand-ins of review/11 to review/15 into target/. It needs the Go toolchain and no network.
cd "$(dirname "$0")/world3" || exit 2
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../../target/review-world3 .
