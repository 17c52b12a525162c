package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is heartbeat-ms of the settings.
	heartbeat = 1200 * time.Millisecond
	// lapse is the silence after which the platform removes a runner's entry.
	lapse = 3 * heartbeat
)

// runner is a runner of a service. It registers itself and answers requests that name it.
type runner struct {
	sc      *scenario
	store   *store
	id      string
	service string
	zone    string
	slots   int
	address string
	server  *http.Server
	dead    chan struct{}
	runs    atomic.Int64
	born    int64
	handler http.HandlerFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// start listens and registers the runner at once; it registers again at each heartbeat.
func (r *runner) start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.address, r.dead, r.born, r.conns = ln.Addr().String(), make(chan struct{}), time.Now().UnixMilli(), map[net.Conn]struct{}{}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateNew {
			r.conns[c] = struct{}{}
		} else if s == http.StateClosed {
			delete(r.conns, c)
		}
	}}
	go func() { _ = r.server.Serve(ln) }()
	go r.heartbeats()
	return nil
}

// heartbeats registers the runner until it ends. The platform removes its entry after lapse.
func (r *runner) heartbeats() {
	for seq := 1; ; seq++ {
		r.register(seq)
		select {
		case <-r.dead:
			time.AfterFunc(lapse, func() { r.store.remove("servers/" + r.id) })
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *runner) register(seq int) {
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "cold-left-ms": 0,
		"seq": seq, "born": r.born,
	})
	r.store.put("servers/"+r.id, value)
}

// leave ends the runner's entry, as of one that never reports draining. It goes on serving.
func (r *runner) leave() {
	close(r.dead)
	r.store.remove("servers/" + r.id)
}

// crash ends the runner: its connections close and it says nothing more.
func (r *runner) crash() {
	close(r.dead)
	_ = r.server.Close()
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("Instance", r.id)
		return
	}
	if target := q.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.Header().Set("Instance", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		r.sc.rec.line("runner %s (%s) answers request %s for %s with 421", r.id, r.service, q.Header.Get("Request-Id"), target)
		return
	}
	r.handler(w, q)
}

func (r *runner) sign(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Server-Signature", fmt.Sprintf("%s.%s", r.id, q.Header.Get("Request-Id")))
}
