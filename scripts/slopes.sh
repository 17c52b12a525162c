#!/usr/bin/env bash
# Measures the CPU time of a router and of the four agents, and the memory of the router and of one agent, at several numbers
# of streams on a small site. The idle row has the CPU time of one agent.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
trap site_stop EXIT
site_build
site_start
site_wait_members 7
config=$(mktemp -d)
sed 's/slots_per_upstream: 16/slots_per_upstream: 512/; s/queue_per_upstream: 64/queue_per_upstream: 512/' examples/demo/config/services.yaml >"$config/services.yaml"
sed 's/requests_per_second: 200/requests_per_second: 2000/; s/max_running: 400/max_running: 4000/' examples/demo/config/workspaces.yaml >"$config/workspaces.yaml"
site_ctl apply --wait "$config" >/dev/null
site_wait_ready

cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$(cat "$SITE_RUN/$1.pid")/stat"; }
rss_mb() { awk '/VmRSS/ {printf "%.0f", $2 / 1024}' "/proc/$(cat "$SITE_RUN/$1.pid")/status"; }

echo "streams tokens router_cpu_us/token agent_cpu_us/token router_rss_mb agent_rss_mb"
echo "idle, 10 s:"
r0=$(cpu_ms entry-1) a0=$(cpu_ms upstream-1)
sleep 10
echo "0 0 $(($(cpu_ms entry-1) - r0))ms/10s $(($(cpu_ms upstream-1) - a0))ms/10s $(rss_mb entry-1) $(rss_mb upstream-1)"
for n in 50 100 200 400; do
  r0=$(cpu_ms entry-1) a0=0
  for i in 1 2 3 4; do a0=$((a0 + $(cpu_ms "upstream-$i"))); done
  bin/bilberrylug-bench answers --router http://127.0.0.1:8081 --key "$SITE_KEY" --count "$n" --tokens 400 >"$SITE_RUN/slope-$n.txt"
  r1=$(cpu_ms entry-1) a1=0
  for i in 1 2 3 4; do a1=$((a1 + $(cpu_ms "upstream-$i"))); done
  tokens=$((n * 400))
  echo "$n $tokens $(((r1 - r0) * 1000 / tokens)) $(((a1 - a0) * 1000 / tokens)) $(rss_mb entry-1) $(rss_mb upstream-1)"
  grep gap "$SITE_RUN/slope-$n.txt"
done
curl -sS http://127.0.0.1:9181/metrics | grep -E 'platform_calls|token_gap|first_token' || true
