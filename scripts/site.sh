# Functions that run a small site: two routers, four model engines and one plain service with their agents, in three
# failure domains. Logs, settings and process IDs are written to SITE_RUN.
SITE_KEY=growers.demo-secret
SITE_RUN=${SITE_RUN:-run}
SITE_PLATFORM=http://127.0.0.1:7070

site_build() {
  mkdir -p bin "$SITE_RUN"
  for m in router agent standin bench; do go build -o "bin/bilberrylug-$m" "./$m"; done
  go build -o bin/bilberrylug ./ctl
}

site_spawn() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$SITE_RUN/$name.log" 2>&1 &
  echo $! >"$SITE_RUN/$name.pid"
  disown
}

site_kill() { kill -KILL "$(cat "$SITE_RUN/$1.pid")"; }

site_stop() {
  for f in "$SITE_RUN"/*.pid; do
    [ -e "$f" ] || continue
    kill -KILL "$(cat "$f")" 2>/dev/null || true
    rm -f "$f"
  done
}

site_ctl() { bin/bilberrylug --platform "$SITE_PLATFORM" --router 127.0.0.1:9181 --router 127.0.0.1:9182 --operator demo "$@"; }

site_common_settings() { # VM DOMAIN LISTEN
  cat <<YAML
vm: $1
region: uttarbanga
failure_domain: $2
listen: $3
routers: [127.0.0.1:9081, 127.0.0.1:9082]
platform: {address: $SITE_PLATFORM, reads_per_second: 50, writes_per_second: 50}
YAML
}

site_router() { # NUMBER DOMAIN
  { site_common_settings "entry-$1" "$2" "127.0.0.1:908$1"; echo "callers: 127.0.0.1:808$1"; echo "operators: 127.0.0.1:918$1"; } >"$SITE_RUN/entry-$1.yaml"
  site_spawn "entry-$1" bin/bilberrylug-router --settings "$SITE_RUN/entry-$1.yaml"
}

site_agent() { # NUMBER DOMAIN SERVICE KIND
  { site_common_settings "upstream-$1" "$2" "127.0.0.1:920$1"; echo "service: $3"; echo "kind: $4"; echo "upstream: http://127.0.0.1:810$1"; } >"$SITE_RUN/upstream-$1.yaml"
  site_spawn "upstream-$1" bin/bilberrylug-agent --settings "$SITE_RUN/upstream-$1.yaml"
}

site_engine() { # NUMBER
  site_spawn "engine-$1" bin/bilberrylug-standin engine --listen "127.0.0.1:810$1" --model lug-7b@1
}

site_start() {
  site_spawn platform bin/bilberrylug-standin platform --listen 127.0.0.1:7070
  local domains=(teesta-ghat karala-hall haat-mor teesta-ghat)
  for i in 1 2 3 4; do
    site_engine "$i"
    site_agent "$i" "${domains[$((i - 1))]}" lug-pool model
  done
  site_spawn service-5 bin/bilberrylug-standin plain --listen 127.0.0.1:8105
  site_agent 5 karala-hall nilam-desk plain
  site_router 1 teesta-ghat
  site_router 2 haat-mor
  site_wait_http http://127.0.0.1:8081/healthz
  site_wait_http http://127.0.0.1:8082/healthz
}

site_wait_http() { # URL
  for _ in $(seq 100); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "$1 did not answer" >&2
  return 1
}

# Waits up to about 10 s until at least COUNT lines of the status report live VMs.
site_wait_members() { # COUNT
  for _ in $(seq 100); do
    [ "$(site_ctl status | grep -c live)" -ge "$1" ] && return 0
    sleep 0.1
  done
  echo "fewer than $1 VMs are live" >&2
  return 1
}

# Waits until both routers have a configuration (/readyz) and an upstream that completes a short request. The wait for the
# request ends after 100 attempts without an error.
site_wait_ready() {
  for r in 8081 8082; do
    site_wait_http "http://127.0.0.1:$r/readyz"
    for _ in $(seq 100); do
      curl -fsS -o /dev/null -H "Authorization: Bearer $SITE_KEY" -d '{"model":"lug-7b","prompt":"ready?","max_tokens":1}' "http://127.0.0.1:$r/v1/completions" 2>/dev/null && break
      sleep 0.1
    done
  done
}
