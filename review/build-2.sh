#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
(cd review/standin-2 && GOWORK=off GOFLAGS=-buildvcs=false go test -c -o ../../target/review-2/standin .)
