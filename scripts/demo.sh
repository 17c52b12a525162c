#!/usr/bin/env bash
# Builds all binaries, starts a small site as separate processes, applies its configuration, streams long answers, kills an
# engine while they are in progress, and counts the tokens. Then it sends the same call three times and counts its runs.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
trap site_stop EXIT
site_build
site_start
site_wait_members 7
echo "== applying the configuration"
site_ctl apply --wait examples/demo/config
site_ctl status
site_wait_ready
echo "== streaming 8 answers of 300 tokens; engine-1 is killed after 2 s"
bin/bilberrylug-bench answers --router http://127.0.0.1:8081 --router http://127.0.0.1:8082 --key "$SITE_KEY" --count 8 --tokens 300 &
load=$!
sleep 2
site_kill engine-1
wait "$load"
echo "== a slip is recorded once, however often it is sent"
for _ in 1 2 3; do
  curl -sS -o /dev/null -w 'slip sent, status %{http_code}\n' -H "Authorization: Bearer $SITE_KEY" -H 'Idempotency-Key: slip-1' -d 'lot 7, 120 rupees' http://127.0.0.1:8081/slips
done
echo "runs of the slip at the service: $(curl -sS http://127.0.0.1:8105/standin/runs | grep -o slip-1 | wc -l)"
curl -sS http://127.0.0.1:8081/metrics http://127.0.0.1:8082/metrics | grep -E 'resume_ms_(count|p50|max)' || true
