#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/world
GOWORK=off go build -o ../../target/review-2/world .
