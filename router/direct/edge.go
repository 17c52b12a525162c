package direct

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/router/upstream"
)

// exchange is one request of a caller on its way.
type exchange struct {
	*edge
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	req     relay.Request
	route   routing.Route
	service routing.Service
	ws      ids.Workspace
	body    []byte
	began   time.Time
	// end is when the caller's patience or the route's time is over.
	end time.Time
	// mayHaveRun is set once an upstream may have begun to work on the request.
	mayHaveRun bool
	// attempts counts the sendings, refusals those that an upstream said it did not run.
	attempts int
	refusals int
	// granted tells that the next sending has been drawn on the budget of repeats.
	granted bool
	// started is set once the caller has been sent a response header.
	started bool
}

// edge answers callers.
type edge struct {
	*world
	dialect relay.Dialect
	probes  *prober
	stop    *stopper
	lag     *lagMeter
	// learnt is closed once the engines have been asked for their prompts.
	learnt chan struct{}
}

// ServeHTTP implements http.Handler.
func (e *edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{edge: e, w: w, r: r, began: e.clock.Now()}
	e.stop.enter()
	defer e.stop.leave()
	if e.stop.stopping() || e.lag.high.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), e.clock, x.end)
	defer cancel()
	x.ctx = ctx
	e.mu.Lock()
	e.budget.RecordRequest(x.service.Name, x.began)
	e.mu.Unlock()
	if x.route.Kind == routing.Streaming {
		x.stream()
		return
	}
	x.call()
}

// admit finds out what the request is and whether it may go on.
func (x *exchange) admit() error {
	var err error
	x.req, err = x.dialect.Request(x.r)
	if err != nil {
		return err
	}
	cfg := x.awaitStart()
	if cfg == nil {
		return x.notReady()
	}
	route, found := cfg.Match(x.r.Host, x.r.URL.EscapedPath())
	if !found {
		return fault.New(fault.UnknownRoute, "host %q, configuration %d", x.r.Host, cfg.Version)
	}
	x.route = route
	if cfg.NeedsKey(route) {
		ws, known := cfg.Workspace(x.req.Key)
		if !known {
			return fault.New(fault.Unauthenticated, "configuration %d", cfg.Version)
		}
		x.ws = ws
	}
	x.service, found = cfg.Service(route.Pick(rand.Float64()))
	if !found {
		return fault.New(fault.NoUpstream, "the route's service is not declared")
	}
	x.end = x.began.Add(route.Timeout)
	if p := x.req.Patience; p > 0 && p < route.Timeout {
		x.end = x.began.Add(p)
	}
	if err := x.admitStopping(); err != nil {
		return err
	}
	return x.readBody(cfg.Limits.MaxBodyBytes)
}

func (x *exchange) readBody(limit int64) error {
	if x.r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.BodyTooLarge, "more than %d bytes", limit)
	}
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "the body ended early")
	}
	x.body = body
	return nil
}

// defaultBodyBytes bounds bodies where the configuration names no limit.
const defaultBodyBytes = 4 << 20

// outgoing returns the request as it is sent to an upstream.
func (x *exchange) outgoing(a relay.Attempt) upstream.Request {
	h := x.req.Header.Clone()
	x.dialect.Prepare(h, a)
	return upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		Chunked: len(x.r.TransferEncoding) > 0,
		Mismatched: func(r *http.Response) bool {
			id := x.dialect.Reply(r).Request
			return id != "" && id != x.req.ID
		},
	}
}

// left is what remains of the request's time.
func (x *exchange) left() time.Duration { return x.end.Sub(x.clock.Now()) }

// refuse gives the caller the final answer of a request that gets none from an upstream.
func (x *exchange) refuse(err error) {
	f := fault.As(err)
	if x.mayHaveRun && f.Kind.Claim == fault.NotRun {
		f = fault.Wrap(fault.CallOutcomeUnknown, f, "sent to %d upstreams", x.attempts)
	}
	x.log.Write(event.RequestRefused, "request", x.req.ID, "workspace", x.ws, "route", x.route.Name, "number", f.Kind.Number,
		"status", f.Kind.Status, "detail", f.Detail, "attempts", x.attempts, "may_have_run", x.mayHaveRun,
		"held", x.clock.Since(x.began).String(), "config_version", x.version())
	x.metrics.Counter("requests_refused", "code", string(f.Kind.Code)).Inc(1)
	x.dialect.Refuse(x.w.Header(), x.req, f.Kind.RetryAfter)
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(f.Kind.Status)
	_, _ = io.WriteString(x.w, `{"code":"`+string(f.Kind.Code)+`","number":"`+f.Kind.Number+`"}`)
}

func (x *exchange) version() uint64 {
	cfg := x.config.Load()
	if cfg == nil {
		return 0
	}
	return uint64(cfg.Version)
}

// copyHeader passes an upstream's response header on.
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

// callerGone tells whether the caller has left.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }

func (x *exchange) logAttempt(id ids.VM, args ...any) {
	x.log.Write(event.RequestAttempt, append([]any{
		"request", x.req.ID, "upstream", id, "attempt", x.attempts,
		"left", x.left().String(),
	}, args...)...)
}

func (x *exchange) logAttemptEnd(id ids.VM, err error, args ...any) {
	outcome := "answered"
	if err != nil {
		outcome = err.Error()
	}
	x.log.Write(event.RequestAttemptEnd, append([]any{
		"request", x.req.ID, "upstream", id, "attempt", x.attempts,
		"outcome", outcome,
	}, args...)...)
}

func (x *exchange) logEnd(status int, args ...any) {
	took := x.clock.Since(x.began)
	x.log.Write(event.RequestEnded, append([]any{
		"request", x.req.ID, "workspace", x.ws, "route", x.route.Name,
		"status", status, "took", took.String(), "attempts", x.attempts, "config_version", x.version(),
	}, args...)...)
	x.metrics.Histogram("request_ms", "service", string(x.service.Name), "workspace", string(x.ws)).Update(took.Milliseconds())
}
