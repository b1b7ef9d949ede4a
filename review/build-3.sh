#!/bin/sh
# Builds the stand-ins and drivers of the cases in review/11 to review/15 into target/. The
# module in review/rig3 uses the standard library only, so the build needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/rig3
GOTOOLCHAIN=local GOFLAGS=-mod=readonly go build -o ../../target/rig3 .
