package standin_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// host is a loopback address of this process, so that several runs do not meet.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/256%100, os.Getpid()%256)

// nextPort is the next port to try. The ports lie below those of outgoing connections.
var nextPort = 21_000

// freeAddress returns an address on which nothing listens.
func freeAddress() string {
	for range 5000 {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, nextPort))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	panic("no free port")
}

// router is a router process.
type router struct {
	name, settings, front, ready string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// zones are the zones of the site.
var zones = []string{"teesta-ghat", "karala-hall", "haat-mor"}

// startRouters starts n routers with the settings of a small deployment, and waits until they are ready.
func (s *site) startRouters(n int) {
	type addresses struct{ front, ready, control, metrics string }
	var all []addresses
	var seeds []string
	for range n {
		a := addresses{freeAddress(), freeAddress(), freeAddress(), freeAddress()}
		all = append(all, a)
		if len(seeds) < 3 {
			seeds = append(seeds, a.control)
		}
	}
	for i, a := range all {
		_, metrics, _ := net.SplitHostPort(a.metrics)
		name := fmt.Sprintf("edge-%d", i+1)
		r := &router{name: name, settings: filepath.Join(s.dir, name+".yaml"), front: a.front, ready: a.ready}
		text := fmt.Sprintf(`vm: %s
region: uttarbanga
failure_domain: %s
address: %s
callers: %s
readiness: %s
peers: %s
seeds: [%s]
metrics_port: %s
stop_seconds: 8
address_reuse_seconds: 2
upstream_heartbeat_ms: 1200
store:
  address: %s
  lease_minimum_ms: 1000
retries:
  ratio: 0.8
  window_seconds: 10
  slack: 150
memory_megabytes: %d
max_descriptors: 4100
link_megabits: 1000
cpu_share: 0.304
`, name, zones[i%len(zones)], host, a.front, a.ready, a.control, strings.Join(seeds, ", "), metrics, s.store.addr, s.memory)
		must(os.WriteFile(r.settings, []byte(text), 0o600))
		log, err := os.Create(filepath.Join(s.dir, name+".log"))
		must(err)
		r.log = log
		s.mu.Lock()
		s.routers = append(s.routers, r)
		s.mu.Unlock()
		r.start()
	}
	for _, r := range s.routers {
		r.awaitReady()
	}
	// The routers have to know one another.
	time.Sleep(2 * time.Second)
	s.note("%d routers are ready", n)
}

// start starts the process with the command of the deploy file.
func (r *router) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = exec.Command("target/router", "direct", "--settings", r.settings)
	r.cmd.Dir = root()
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	must(r.cmd.Start())
	cmd, exited := r.cmd, make(chan struct{})
	r.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (r *router) awaitReady() {
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + r.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic(r.name + " does not get ready")
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, attempts int, timeout time.Duration, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": "mandi.example", "path-prefix": prefix, "kind": kind, "service": service, "max-attempts": attempts,
		"timeout-ms": timeout.Milliseconds(), "target-latency-ms": timeout.Milliseconds() / 5, "priority": 1, "public": false, "sticky": false,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// configure writes the configuration: streams (/read/ cannot be resumed, /digest/ can), calls that must not be repeated (/slip/, and
// /entry/ with more time) and one that may be (/look/).
func (s *site) configure() {
	body, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{
			route("digest", "/digest/", "streaming", "pool", 5, 25*time.Second, map[string]any{"resumable": true, "gap-aim-ms": 700, "sticky": true}),
			route("read", "/read/", "streaming", "pool", 1, 25*time.Second, map[string]any{"gap-aim-ms": 700, "sticky": true}),
			route("slip", "/slip/", "non_idempotent", "desk", 1, 4*time.Second, nil),
			route("entry", "/entry/", "non_idempotent", "desk", 1, 20*time.Second, nil),
			route("look", "/look/", "idempotent", "desk", 2, 4*time.Second, nil),
		},
		"services": []any{
			map[string]any{"name": "pool", "health-path": "/healthz", "max-conns": 360, "engine": map[string]any{"slots": 64, "kv-capacity": 55000, "backups": false, "moves": false, "stride": 4}},
			map[string]any{"name": "desk", "health-path": "/healthz", "max-conns": 96},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "growers", "api-keys": []string{"k1"}}},
	})
	must(err)
	s.store.write("op/config", body)
}
