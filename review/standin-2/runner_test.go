package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a model runner: a place with an address at which one process after the other may run.
type runner struct {
	rec     *record
	store   *store
	service string
	zone    string
	address string
	// slots bounds the requests at once, prefill is the time until the first event, events and pause are the number of events and the
	// time between two of them.
	slots   int
	prefill time.Duration
	events  int
	pause   time.Duration
	// crashPart is the part of a prompt that crashes the runner as it begins to write the answer, and backAfter how long it is gone then.
	crashPart string
	backAfter time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	seq      int64
	up       bool
	running  int
	server   *http.Server
	conns    map[net.Conn]struct{}
	stopBeat context.CancelFunc
	// pausedUntil is the end of the pause for which the runner has turned requests away.
	pausedUntil time.Time
	// spoilEvery is the number of answers of which one has a wrong byte in the id of an event; zero for none.
	spoilEvery int
	answers    int
	// unframed lets the runner answer with neither a length nor chunks, and send the header before it has read the prompt. dying is
	// closed as the process crashes.
	unframed bool
	dying    chan struct{}
	arrivals []arrival
}

// arrival is a request as it has reached a runner.
type arrival struct {
	request string
	parts   []string
	at      time.Time
	// turnedAway is set if the runner has said that it did not run the request, run if the run has begun.
	turnedAway bool
	crashed    bool
	ran        bool
}

func token() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// start starts a process at the runner's address, with a new id.
func (u *runner) start() error {
	address := u.address
	if address == "" {
		var err error
		if address, err = freeAddress(); err != nil {
			return err
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address, u.id, u.born, u.seq, u.up, u.running = l.Addr().String(), "i-"+token()[:8], time.Now().UnixMilli(), 0, true, 0
	u.conns, u.stopBeat, u.dying = map[net.Conn]struct{}{}, cancel, make(chan struct{})
	conns := u.conns
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if s == http.StateClosed {
			delete(conns, c)
			return
		}
		conns[c] = struct{}{}
	}}
	server := u.server
	go func() { _ = server.Serve(l) }()
	go u.beat(ctx)
	u.rec.write("runner %s (%s, %s) starts", u.id, u.zone, u.address)
	return nil
}

// beat writes the runner's entry.
func (u *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		u.mu.Lock()
		u.seq++
		id, entry := u.id, map[string]any{
			"service": u.service, "address": u.address, "zone": u.zone, "version": "1", "slots": u.slots, "state": "ready",
			"cold-left-ms": 0, "seq": u.seq, "born": u.born,
		}
		u.mu.Unlock()
		u.store.beat(id, entry)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// stop ends the process: its listener closes and all its connections are reset.
func (u *runner) stop() {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up = false
	u.stopBeat()
	server, conns := u.server, u.conns
	list := make([]net.Conn, 0, len(conns))
	for c := range conns {
		list = append(list, c)
	}
	u.mu.Unlock()
	for _, c := range list {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
}

// crash ends the process, and starts the next one some time later.
func (u *runner) crash(request string) {
	u.mu.Lock()
	up, id := u.up, u.id
	u.mu.Unlock()
	if !up {
		return
	}
	u.rec.write("runner %s crashes as it begins to answer %s", id, request)
	u.stop()
	time.AfterFunc(u.backAfter, func() {
		for range 20 {
			if u.start() == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// ServeHTTP implements [http.Handler].
func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id := u.id
	u.mu.Unlock()
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance", id)
		return
	case r.URL.Path == "/v1/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 55000})
		return
	case r.URL.Path == "/v1/kv-list":
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next-token": 0, "held": []any{}})
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		http.NotFound(w, r)
		return
	}
	u.generate(w, r, id)
}

// refuse says that the request has not run.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Not-Executed", why)
	w.WriteHeader(status)
}

func (u *runner) generate(w http.ResponseWriter, r *http.Request, id string) {
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		w.Header().Set("Instance", id)
		refuse(w, http.StatusMisdirectedRequest, "another instance")
		return
	}
	a := arrival{request: request, at: time.Now()}
	for _, part := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(part, ":")
		a.parts = append(a.parts, name)
	}
	u.mu.Lock()
	left := time.Until(u.pausedUntil)
	a.turnedAway = left > 0 || u.running >= u.slots
	if !a.turnedAway {
		u.running++
	}
	u.arrivals = append(u.arrivals, a)
	n := len(u.arrivals) - 1
	u.mu.Unlock()
	if a.turnedAway {
		if left > 0 {
			w.Header().Set("Retry-After", fmt.Sprintf("%.1f", left.Seconds()))
		}
		u.rec.write("runner %s turns %s away with 503, Retry-After %q", id, request, w.Header().Get("Retry-After"))
		refuse(w, http.StatusServiceUnavailable, "full")
		return
	}
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	u.rec.write("runner %s runs %s", id, request)
	if u.unframed {
		u.generateUnframed(w, r, id, request)
		return
	}
	select {
	case <-r.Context().Done():
		u.rec.write("runner %s drops %s: its connection is closed", id, request)
		return
	case <-time.After(u.prefill):
	}
	for i, part := range a.parts {
		if u.crashPart != "" && part == u.crashPart && i < len(a.parts)-1 {
			u.mark(n, func(a *arrival) { a.crashed = true })
			u.crash(request)
			panic(http.ErrAbortHandler)
		}
	}
	u.mark(n, func(a *arrival) { a.ran = true })
	spoiled := u.spoils()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Signature", "s."+request)
	first := 1
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		_, _ = fmt.Sscan(v, &first)
		first++
	}
	for e := first; e <= u.events; e++ {
		line := fmt.Sprintf("id: %d", e)
		if wrong, ok := spoiled[e]; ok {
			u.rec.write("runner %s spoils event %d of %s: %q in place of %q", id, e, request, wrong, line)
			line = wrong
		}
		if _, err := fmt.Fprintf(w, "%s\ndata: %s %d\n\n", line, id, e); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			u.rec.write("runner %s drops %s after event %d: its connection is closed", id, request, e)
			return
		case <-time.After(u.pause):
		}
	}
	u.rec.write("runner %s has run %s", id, request)
}

// spoils returns the lines with a wrong byte in the answer that the runner begins now, by the numbers of their events. By turns the name of
// an id in the middle of the stream and the number of the first id are wrong.
func (u *runner) spoils() map[int]string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	switch {
	case u.spoilEvery == 0 || u.answers%u.spoilEvery != u.spoilEvery/2:
		return nil
	case u.answers/u.spoilEvery%2 == 0:
		return map[int]string{6: "iD: 6"}
	}
	return map[int]string{1: "id: 9"}
}

func (u *runner) mark(n int, change func(a *arrival)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.arrivals[n])
}

// all returns the requests that have reached the runner.
func (u *runner) all() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}
