#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, with the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" go build -o ../../target/review/standin .
