#!/bin/sh
# Builds the stand-ins that the scripts review/6/run.sh and review/8/run.sh to review/10/run.sh start. The
# program of the users is built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
