#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/router ] && [ -x target/review-standin ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec timeout 110 target/review-standin missed-removal review/3/record.txt
