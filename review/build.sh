#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[1-5]; do
	if [ -f "$case/main.go" ]; then
		go build -o "review/bin/case-$(basename "$case")" "./$case"
	fi
done
