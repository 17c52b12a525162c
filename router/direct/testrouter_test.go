package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/router/upstream"
)

// testDialect is a minimal dialect. Requests carry Id and Max-Wait-Ms; responses carry Id, Signed, Not-Run, and Vm with the
// upstream's own ID.
type testDialect struct{ relay.Dialect }

func (testDialect) Request(r *http.Request) (relay.Request, error) {
	ms, _ := strconv.Atoi(r.Header.Get("Max-Wait-Ms"))
	return relay.Request{
		ID: ids.Request(r.Header.Get("Id")), MaxWait: time.Duration(ms) * time.Millisecond, Header: http.Header{"Id": {r.Header.Get("Id")}},
		Prompt: relay.Prompt{Tokens: 100, MaxOutput: 100},
	}, nil
}

func (testDialect) Prepare(h http.Header, a relay.Attempt) {
	if a.Resumes {
		h.Set("Last-Event", strconv.FormatUint(a.LastEventID, 10))
	}
}

func (testDialect) Reply(r *http.Response) relay.Reply {
	vm := ids.VM(r.Header.Get("Vm"))
	return relay.Reply{
		Request: ids.Request(r.Header.Get("Id")), NotRun: r.Header.Get("Not-Run") != "", Signed: r.Header.Get("Signed") != "",
		Misdirected: r.StatusCode == http.StatusMisdirectedRequest, Upstream: vm,
	}
}

func (testDialect) Refuse(http.Header, relay.Request, time.Duration) {}

// respondFunc writes the response to a request on a raw connection, or whatever a faulty upstream sends.
type respondFunc func(w net.Conn, r *http.Request)

// rawUpstream is an upstream that sends raw bytes. It counts the requests by ID.
type rawUpstream struct {
	address  string
	listener net.Listener

	mu       sync.Mutex
	received map[string]int
}

func newRawUpstream(respond respondFunc) *rawUpstream {
	return startRawUpstream(func(u *rawUpstream, conn net.Conn) { u.serve(conn, respond) })
}

// newRawHeadUpstream returns an upstream that responds to the header of one request on each connection and reads no body.
func newRawHeadUpstream(respond respondFunc) *rawUpstream {
	return startRawUpstream(func(_ *rawUpstream, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if r, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
			respond(conn, r)
		}
	})
}

func startRawUpstream(serve func(u *rawUpstream, conn net.Conn)) *rawUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	u := &rawUpstream{address: l.Addr().String(), listener: l, received: map[string]int{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(u, conn)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn, respond respondFunc) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.received[r.Header.Get("Id")]++
		u.mu.Unlock()
		respond(conn, r)
	}
}

func (u *rawUpstream) requests(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received[id]
}

// testRouter is a handler for callers on loopback, without a store and other routers.
type testRouter struct {
	*handler
	address string
	server  *httptest.Server
	nextID  atomic.Int64
}

// newTestRouter starts a router whose service "desk" is reached by /look/ (idempotent, three attempts) and /slip/, and whose
// service "pool" by /digest/ (a resumable stream, two attempts) and /essay/ (the same, three attempts).
func newTestRouter(memoryMegabytes int64) *testRouter {
	return newTestRouterOn(memoryMegabytes, func(l net.Listener) net.Listener { return l })
}

// newTestRouterOn starts such a router on a listener that wrap returns, with a server that configure changes.
func newTestRouterOn(memoryMegabytes int64, wrap func(l net.Listener) net.Listener, configure ...func(s *http.Server)) *testRouter {
	clock := clockwork.NewRealClock()
	st := newState(Settings{VM: "entry", FailureDomain: "north", Retries: Retries{Slack: 1000, WindowSeconds: 10}, MemoryMegabytes: memoryMegabytes}, Options{
		Clock: clock, BootClock: newBootClock(clock), Log: event.New(io.Discard, slog.LevelError, "entry"), Dial: upstream.Dial,
	})
	st.broadcastSoon = func() {}
	timeout := 8 * time.Second
	targets := func(s ids.Service) []routing.Target { return []routing.Target{{Service: s, Weight: 1}} }
	st.config.Store(routing.New(1, []routing.Route{
		{Name: "look", Host: "h", Prefix: "/look/", Kind: routing.Idempotent, Timeout: timeout, MaxAttempts: 3, Targets: targets("desk")},
		{Name: "flood", Host: "h", Prefix: "/flood/", Timeout: timeout, MaxAttempts: 1, Targets: targets("flood")},
		{Name: "slip", Host: "h", Prefix: "/slip/", Kind: routing.NonIdempotent, Timeout: timeout, MaxAttempts: 1, Targets: targets("desk")},
		{
			Name: "digest", Host: "h", Prefix: "/digest/", Kind: routing.Streaming, Timeout: 30 * time.Second, MaxAttempts: 2, Resumable: true,
			Targets: targets("pool"), TargetLatency: time.Second,
		},
		{
			Name: "essay", Host: "h", Prefix: "/essay/", Kind: routing.Streaming, Timeout: 30 * time.Second, MaxAttempts: 3, Resumable: true,
			Targets: targets("pool"), TargetLatency: time.Second,
		},
	}, []routing.Service{{Name: "desk", HealthPath: "/health"}, {Name: "flood"}, {Name: "pool", HealthPath: "/health", Engine: &routing.Engine{Slots: 4, MemoryTokens: 1000, EventTokens: 1}}}, nil, routing.Limits{}))
	g := group.New(context.Background())
	tracker := &shutdownTracker{clock: st.clock}
	h := &handler{
		state: st, dialect: testDialect{}, shutdown: tracker, promptsFetched: make(chan struct{}),
		prober:     &prober{state: st, group: g, checkedAt: map[ids.VM]time.Time{}},
		schedDelay: &schedDelayMeter{clock: st.clock, log: st.log}, conns: newCallerConns(st),
	}
	h.prober.onRecovered = func(context.Context, fleet.Upstream) {}
	server := httptest.NewUnstartedServer(h)
	server.Listener = h.conns.listener(wrap(server.Listener))
	server.Config.ConnContext, server.Config.ConnState = h.conns.context, h.conns.stateChanged
	for _, f := range configure {
		f(server.Config)
	}
	server.Start()
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
		g.Stop()
	})
	return &testRouter{handler: h, address: server.Listener.Addr().String(), server: server}
}

// register registers upstreams of a service.
func (r *testRouter) register(service ids.Service, list ...*rawUpstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range list {
		r.fleet.Put(fleet.Entry{ID: ids.VM(u.address), Service: service, Address: u.address, Domain: "north", Slots: 4}, 0, time.Now())
	}
}

// reply is what a caller receives.
type reply struct {
	id     string
	status int
	body   string
	// whole is set if the answer was complete as far as the protocol tells.
	whole bool
	took  time.Duration
}

// send sends a request of a caller.
func (r *testRouter) send(method, path string) reply {
	out := reply{id: fmt.Sprint("request-", r.nextID.Add(1))}
	req, err := http.NewRequest(method, "http://"+r.address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", out.id)
	req.Header.Set("Max-Wait-Ms", "25000")
	start := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		body, bodyErr := io.ReadAll(resp.Body)
		out.status, out.body, out.whole = resp.StatusCode, string(body), bodyErr == nil
	}
	out.took = time.Since(start)
	return out
}
