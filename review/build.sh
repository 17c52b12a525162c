#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the router that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go test -c -o ../../target/review-standin .
