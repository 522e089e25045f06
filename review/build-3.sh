#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig3 ./review/rig3
