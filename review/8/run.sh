#!/bin/sh
# Replaces three of eight leaves at a time while a seed stands still.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/medlar-node ] || [ ! -x target/review-2/rig2 ]; then
	echo "build target/medlar-node and run review/build-2.sh first" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-2/rig2 -case large-release -node target/medlar-node -record "$here/record.txt" -trouble=$trouble
