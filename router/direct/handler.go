package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/memory"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/router/upstream"
)

// exchange is one request of a caller, from its arrival to the final answer.
type exchange struct {
	*handler
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	req       relay.Request
	route     routing.Route
	service   routing.Service
	workspace ids.Workspace
	// priority is the rank of the request; zero is the highest.
	priority int
	// body is the request's body in parts, bodyHolder its place in the account of callers' memory, or nil if there is no body.
	body       [][]byte
	bodyHolder *memory.Holder
	arrivedAt  time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// mayHaveRun is set once an upstream may have started to process the request.
	mayHaveRun bool
	// attempts counts the upstreams to which the request was sent, notRun those of them that asserted that they did not run it.
	attempts int
	notRun   int
	// refusals counts the attempts that did not run: the upstream said so or could not be reached.
	refusals int
	// reserved is the memory for answers that the exchange has reserved, in bytes.
	reserved int64
	// chargedAt is when the next attempt was charged to the retry budget, or zero if it was not.
	chargedAt time.Time
	// noConnectionSince is since when a request that has run waits for a connection, or zero if it does not.
	noConnectionSince time.Time
	// draw is the random number by which the request goes to a new or an old version during a rollout.
	draw float64
	// headerSent is set once a response header has been sent to the caller.
	headerSent bool
}

// handler is the HTTP handler for callers.
type handler struct {
	*state
	dialect    relay.Dialect
	prober     *prober
	shutdown   *shutdownTracker
	schedDelay *schedDelayMeter
	conns      *callerConns
	// promptsFetched is closed once the router has queried the engines for their cached prompts.
	promptsFetched chan struct{}
}

// ServeHTTP implements [http.Handler].
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{handler: h, w: w, r: r, arrivedAt: h.clock.Now(), draw: rand.Float64()}
	h.conns.headerRead(r)
	h.shutdown.add()
	defer h.shutdown.done()
	defer x.recoverPanic()
	if h.shutdown.stopping() || h.schedDelay.high.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.releaseBody()
	if err := x.admit(); err != nil {
		x.limitRefusal()
		x.refuse(err)
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), h.clock, x.deadline)
	defer cancel()
	x.ctx = ctx
	defer x.releaseAnswers()
	x.limitWriting(x.deadline.Add(writeMargin))
	h.mu.Lock()
	h.budget.RecordRequest(x.service.Name, x.arrivedAt)
	h.rateLimits.RecordRequest(x.service.Name, x.arrivedAt)
	h.mu.Unlock()
	if x.route.Kind == routing.Streaming {
		x.stream()
		return
	}
	x.call()
}

// recoverPanic ends the request whose handling has panicked, and no other one. [http.ErrAbortHandler] is passed on: it closes
// the connection of an answer that cannot be completed.
func (x *exchange) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	x.log.RequestPanic(string(x.req.ID), value, debug.Stack())
	x.metrics.Counter("panics").Inc(1)
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	x.refuse(fault.New(fault.Internal, "request %s", x.req.ID))
}

// admit parses the request, finds its route, workspace and service, and reads the body. It returns a fault if the request is
// refused.
func (x *exchange) admit() error {
	var err error
	x.req, err = x.dialect.Request(x.r)
	if err != nil {
		return err
	}
	cfg := x.awaitConfig()
	if cfg == nil {
		return x.notReadyError()
	}
	if err := checkHeaderSize(x.r, cfg.Limits.MaxHeaderBytes); err != nil {
		return err
	}
	cfg, err = x.matchCurrent(cfg)
	if err != nil {
		return err
	}
	var found bool
	x.service, found = cfg.Service(x.route.Pick(rand.Float64()))
	if !found {
		return fault.New(fault.NoUpstream, "the configuration does not declare the route's service")
	}
	x.setLimits(cfg)
	if err := x.admitDuringShutdown(); err != nil {
		return err
	}
	return x.readBody(cfg.Limits.MaxBodyBytes)
}

// setLimits sets the rank and the deadline of the request.
func (x *exchange) setLimits(cfg *routing.Config) {
	x.priority = cfg.Priority(x.route, x.workspace)
	x.deadline = x.arrivedAt.Add(x.route.Timeout)
	if maxWait := x.req.MaxWait; maxWait > 0 && maxWait < x.route.Timeout {
		x.deadline = x.arrivedAt.Add(maxWait)
	}
}

// match finds the route and the workspace of the request in a configuration.
func (x *exchange) match(cfg *routing.Config) error {
	route, found := cfg.Match(x.r.Host, x.r.URL.EscapedPath())
	if !found {
		return fault.New(fault.UnknownRoute, "host %q, configuration %d", x.r.Host, cfg.Version)
	}
	x.route = route
	if !cfg.NeedsKey(route) {
		return nil
	}
	workspace, known := cfg.Workspace(x.req.Key)
	if !known {
		return fault.New(fault.Unauthenticated, "configuration %d", cfg.Version)
	}
	x.workspace = workspace
	return nil
}

// limitWriting bounds the time for which a caller that does not read may hold the exchange. [http.Server] lifts the limit once the
// answer has been flushed, which it does after the handler has returned.
func (x *exchange) limitWriting(until time.Time) {
	if err := http.NewResponseController(x.w).SetWriteDeadline(until); err != nil {
		x.log.Write(event.TimeLimitFailed, "request", x.req.ID, "error", err.Error())
	}
}

// writeMargin is the time after a request's deadline for which its answer may still be written.
const writeMargin = 2 * time.Second

// outgoing returns the request to send to an upstream for the given attempt.
func (x *exchange) outgoing(a relay.Attempt) upstream.Request {
	h := x.req.Header.Clone()
	x.dialect.Prepare(h, a)
	return upstream.Request{
		ID: string(x.req.ID), Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		Chunked: len(x.r.TransferEncoding) > 0,
		Mismatched: func(r *http.Response) bool {
			id := x.dialect.Reply(r).Request
			return id != "" && id != x.req.ID
		},
	}
}

// remaining returns the time until the request's deadline.
func (x *exchange) remaining() time.Duration { return x.deadline.Sub(x.clock.Now()) }

// refuse answers a request with a fault. It does not claim that the request has not run if an upstream may have run it.
func (x *exchange) refuse(err error) {
	f := fault.As(err)
	if x.mayHaveRun && f.Kind.Claim == fault.NotRun {
		f = fault.Wrap(fault.CallOutcomeUnknown, f, "sent to %d upstreams", x.attempts)
	}
	x.logRefusal(f)
	x.metrics.Counter("requests_refused", "code", string(f.Kind.Code)).Inc(1)
	x.dialect.Refuse(x.w.Header(), x.req, f.Kind.RetryAfter)
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(f.Kind.Status)
	_, _ = io.WriteString(x.w, `{"code":"`+string(f.Kind.Code)+`","number":"`+f.Kind.Number+`"}`)
}

// logRefusal logs a refusal. Bodies that do not fit are many at a time and have one line together, which [callerMemory] writes.
func (x *exchange) logRefusal(f *fault.Error) {
	if f.Kind.Code == fault.MemoryLimit {
		return
	}
	x.log.Write(event.RequestRefused, "request", x.req.ID, "workspace", x.workspace, "route", x.route.Name,
		"number", f.Kind.Number, "status", f.Kind.Status, "detail", f.Detail, "attempts", x.attempts, "may_have_run", x.mayHaveRun,
		"held", x.clock.Since(x.arrivedAt).String(), "config_version", uint64(x.configVersion()))
}

// copyHeader copies an upstream's response header to the caller's, except for the headers of the connection. It suppresses
// the Date and Content-Type headers that net/http would add if the upstream sent none.
func (x *exchange) copyHeader(resp *http.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", "Proxy-Connection":
		default:
			h[name] = values
		}
	}
	if resp.Header.Get("Date") == "" {
		h["Date"] = nil
	}
	if resp.Header.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
}

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }
