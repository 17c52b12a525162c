package standin

import (
	"fmt"
	"os"
	"time"
)

// The bounds of the sheet of paanhat-lug that the cases use.
const (
	contact      = 3 * time.Second
	grace        = 8 * time.Second
	lost         = 200 * time.Millisecond
	routeTimeout = 25 * time.Second
	readyTime    = 10 * time.Second
)

// site is a small deployment: a store, runners of one service, and routers.
type site struct {
	rec     *record
	root    string
	dir     string
	store   *store
	runners []*runner
	routers []*router
}

// siteOptions describe a deployment.
type siteOptions struct {
	routers, runners int
	resumable        bool
	// configure sets up a runner before it starts.
	configure func(u *runner)
}

// newSite starts a deployment and waits until its routers are ready.
func newSite(rec *record, root string, o siteOptions) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, root: root, dir: dir}
	if s.store, err = startStore(); err != nil {
		return s, err
	}
	s.store.write("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "digest", "host": host, "path-prefix": "/digest/", "kind": "streaming", "timeout-ms": routeTimeout.Milliseconds(),
			"target-latency-ms": 4500, "gap-aim-ms": 700, "max-attempts": 5, "priority": 1, "service": "lug-pool", "sticky": true,
			"resumable": o.resumable,
		}},
		"services": []any{map[string]any{
			"name": "lug-pool", "health-path": "/healthz", "max-conns": 360,
			"engine": map[string]any{"slots": 64, "kv-capacity": 55_000, "stride": 4},
		}},
		"limits":  map[string]any{"max-header-bytes": 16_384, "max-body-bytes": 1_048_576, "header-timeout-ms": 5000, "idle-timeout-ms": 30_000},
		"tenants": []any{map[string]any{"name": "huka270", "api-keys": []string{key}}},
	})
	for i := range o.runners {
		u := &runner{
			rec: rec, store: s.store, service: "lug-pool", zone: fmt.Sprintf("zone-%d", i%3+1), slots: 64, prefill: 300 * time.Millisecond,
			events: 20, pause: 30 * time.Millisecond, backAfter: 2 * time.Second,
		}
		if o.configure != nil {
			o.configure(u)
		}
		s.runners = append(s.runners, u)
		if err := u.start(); err != nil {
			return s, err
		}
	}
	if s.routers, err = newRouters(o.routers); err != nil {
		return s, err
	}
	for i, r := range s.routers {
		if err := r.start(root, dir, fmt.Sprintf("zone-%d", i%3+1), s.store.address, s.routers); err != nil {
			return s, err
		}
	}
	for _, r := range s.routers {
		if err := r.awaitReady(readyTime); err != nil {
			return s, err
		}
		rec.write("router %s is ready", r.name)
	}
	// The routers exchange their first updates, and learn all runners.
	time.Sleep(2 * time.Second)
	return s, nil
}

// close ends all processes.
func (s *site) close() {
	for _, r := range s.routers {
		r.kill()
	}
	for _, u := range s.runners {
		u.backAfter = time.Hour
		u.stop()
	}
	if s.store != nil {
		s.store.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Fprintln(os.Stderr, "logs in", s.dir)
}

// arrivals returns what has reached the runners.
func (s *site) arrivals() []arrival {
	var out []arrival
	for _, u := range s.runners {
		out = append(out, u.all()...)
	}
	return out
}
