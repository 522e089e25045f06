#!/bin/sh
# Builds the stand-ins and the driver that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig2 ./review/rig2
