#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# Writes what was sent, answered and run to record.txt beside it. TROUBLE=0 leaves out the disruption. Needs the build of deploy/system.toml and review/build.sh.
set -u
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
case=$(basename "$dir")
cd "$dir/../.." || exit 2
if [ ! -x target/medlar-node ] || [ ! -x "review/bin/case-$case" ]; then
	echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
	exit 2
fi
timeout -k 2 110 "review/bin/case-$case" "review/$case/record.txt"
result=$?
case $result in
0 | 1) exit $result ;;
esac
exit 2
