package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
)

const (
	// dialTimeout bounds the opening of a connection. A round trip takes a few milliseconds, a lost packet costs a second.
	dialTimeout = 250 * time.Millisecond
	// minAnswerTime is the shortest time in which an upstream can answer. With less time left, no attempt is made.
	minAnswerTime = 5 * time.Millisecond
	// firstAttemptShare is the fraction of the remaining time that an attempt of an idempotent call may use while a retry is
	// allowed.
	firstAttemptShare = 0.45
)

var (
	errNotRun         = errors.New("the upstream has not run the request")
	errNotSent        = fmt.Errorf("%w: no connection", errNotRun)
	errUpstreamFull   = fmt.Errorf("%w: it is at capacity", errNotRun)
	errAddressReused  = errors.New("another upstream answers at the address")
	errTruncated      = errors.New("the answer is incomplete")
	errAttemptTimeout = errors.New("no answer within the attempt's timeout")
)

// answer is an upstream's response with its complete body.
type answer struct {
	resp *http.Response
	body []byte
}

// call serves a request to a plain service. The answer is forwarded once it is complete.
func (x *exchange) call() {
	var failed *answer
	tried := map[ids.VM]bool{}
	for {
		a, u, err := x.tryAdmitted(tried)
		if refusal := (*refusedError)(nil); errors.As(err, &refusal) {
			x.finishCall(failed, refusal.fault)
			return
		}
		if err == nil && (a.resp.StatusCode < http.StatusInternalServerError || !x.mayRetry()) {
			x.forward(a)
			return
		}
		if err == nil {
			failed = a
		}
		if x.callerGone() {
			x.logEnd(0, "outcome", x.cutOutcome())
			// A return would complete an empty answer, which a caller that has closed only its sending side takes for a success.
			panic(http.ErrAbortHandler)
		}
		x.countRefusal(err)
		if final := x.checkRetry(err, fault.QueueFull); final != nil {
			x.finishCall(failed, final)
			return
		}
		tried[u.ID] = true
	}
}

// refusedError is the router's own refusal of a call.
type refusedError struct{ fault *fault.Error }

// Error returns the text of the fault.
func (e *refusedError) Error() string { return e.fault.Error() }

// tryAdmitted makes one attempt once a concurrency slot is free. A [refusedError] is the call's final answer.
func (x *exchange) tryAdmitted(tried map[ids.VM]bool) (*answer, fleet.Upstream, error) {
	if err := x.acquireSlot(); err != nil {
		return nil, fleet.Upstream{}, err
	}
	start := x.clock.Now()
	var err error
	defer func() {
		x.releaseSlot(placement.CallEnd{Rejected: errors.Is(err, errUpstreamFull), Took: x.clock.Since(start)})
	}()
	u, refusal := x.pickCall(tried)
	if refusal != nil {
		err = errNotSent
		return nil, u, &refusedError{refusal}
	}
	var a *answer
	a, err = x.tryCall(u, tried)
	return a, u, err
}

// finishCall forwards an upstream's failure answer if there is one, and refuses the request otherwise.
func (x *exchange) finishCall(failed *answer, err error) {
	if failed != nil {
		x.forward(failed)
		return
	}
	x.refuse(err)
}

// forward sends an upstream's answer to the caller.
func (x *exchange) forward(a *answer) {
	x.headerSent = true
	x.copyHeader(a.resp)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.resp.StatusCode)
	d := x.deliver(len(a.body))
	err := d.write(a.body)
	shed := d.end()
	x.logEnd(a.resp.StatusCode, "bytes", len(a.body), "delivered", err == nil)
	if shed {
		panic(http.ErrAbortHandler)
	}
}

// tryCall makes one attempt at an upstream and reads the complete answer.
func (x *exchange) tryCall(u fleet.Upstream, tried map[ids.VM]bool) (*answer, error) {
	defer x.endCall(u.ID)
	ctx := x.ctx
	attemptTime := time.Duration(firstAttemptShare * float64(x.remaining()))
	conn, err := x.connect(ctx, u)
	if err != nil {
		return nil, err
	}
	x.countAttempt()
	x.logAttempt(u.ID, "domain", u.Domain, "tried_before", len(tried), "reused", conn.Reused())
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if x.route.Kind == routing.Idempotent && x.runs() < x.route.MaxAttempts {
		conn.SetStallFunc(x.attemptLimit(x.clock.Now().Add(attemptTime), u.ID, tried))
	}
	sent := x.recordSent(u, false)
	sentAt := x.clock.Now()
	a, err := x.roundTrip(ctx, conn, u)
	x.paceCall(u, a, err, x.clock.Since(sentAt))
	if err != nil {
		conn.Close()
	} else if stop() {
		conn.Release()
	}
	x.recordOutcome(u, a, err)
	outcome, counts := x.callOutcome(a, err, x.clock.Since(sentAt))
	x.recordAnswered(sent, u, outcome, counts)
	x.logAttemptEnd(u.ID, err)
	return a, err
}

// connect returns a pooled or new connection. On an error nothing was sent. An upstream is lost if it accepts no connection within
// dialTimeout, but not if ctx, which holds the caller's patience and the attempt's share of time, ends before.
func (x *exchange) connect(ctx context.Context, u fleet.Upstream) (connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := x.pool.Get(dialCtx, u.Address, string(x.req.ID))
	if err == nil {
		return conn, nil
	}
	if !x.ended(ctx) {
		x.markLost(u, "connect: "+err.Error())
	}
	return nil, fmt.Errorf("%w: %w", errNotSent, err)
}

// ended reports whether a context has ended. A dial may fail at the context's deadline a moment before the context ends.
func (x *exchange) ended(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !x.clock.Now().Before(deadline)
}

// roundTrip sends the request on a connection and reads the answer. It updates what is known of the upstream's load and ID.
func (x *exchange) roundTrip(ctx context.Context, conn connection, u fleet.Upstream) (*answer, error) {
	mayHaveRunBefore := x.mayHaveRun
	x.mayHaveRun = true
	sentAt := x.boot.Now()
	//nolint:bodyclose // The connection owns the body: Release or Close ends it.
	resp, err := conn.Do(ctx, x.outgoing(relay.Attempt{
		Upstream: u.ID, Workspace: x.workspace, Priority: x.priority, TimeLeft: x.remaining(),
	}))
	if err != nil {
		return nil, cause(ctx, err)
	}
	reply := x.dialect.Reply(resp)
	if unattributed(reply, conn) {
		return nil, errUnattributed
	}
	x.recordStatements(u, reply, sentAt)
	x.mu.Lock()
	if !reply.Misdirected {
		x.fleet.RecordAnswer(u, sentAt, x.clock.Now())
	}
	if l := reply.Load; l.Known {
		x.calls.RecordLoad(u.ID, l.Running+l.Waiting, l.Slowness, x.clock.Now())
	}
	x.mu.Unlock()
	if reply.NotRun {
		x.mayHaveRun = mayHaveRunBefore
		if err := x.discard(resp.Body); err != nil {
			conn.Close()
		}
		if reply.Misdirected {
			x.updateID(u, reply.Upstream, sentAt)
			return nil, errAddressReused
		}
		return nil, errUpstreamFull
	}
	body, err := x.readAnswer(resp.Body)
	if fault.CodeOf(err) == fault.ReplyTooLarge || errors.Is(err, errAttemptTimeout) {
		return nil, err
	}
	if err != nil {
		return nil, cause(ctx, errTruncated)
	}
	if !reply.Signed {
		return nil, errors.New("the answer is not signed")
	}
	return &answer{resp, body}, nil
}

// errUnattributed ends an attempt whose upstream may have written a refusal of an earlier request once more.
var errUnattributed = errors.New("a refusal without a request id on a reused connection")

// unattributed reports whether a reply asserts that a request has not run without saying which one, on a connection that has carried others.
func unattributed(r relay.Reply, conn connection) bool {
	return r.NotRun && r.Request == "" && conn.Reused()
}

// recordOutcome records whether an upstream answered an attempt, and probes it if it did not.
func (x *exchange) recordOutcome(u fleet.Upstream, a *answer, err error) {
	if errors.Is(err, errNotRun) || errors.Is(err, errAddressReused) || x.callerGone() {
		return
	}
	failing := locked(&x.mu, func() bool {
		now := x.clock.Now()
		ejected := x.calls.RecordOutcome(u.ID, err != nil || a.resp.StatusCode >= http.StatusInternalServerError, now)
		if ejected {
			x.beginWindow(u.ID, u.Started, pace.Ejected, now)
		}
		return ejected
	})
	if failing {
		x.log.Write(event.UpstreamFailing, "upstream", u.ID, "request", x.req.ID)
	}
	if err != nil {
		x.prober.checkAsync(u)
	}
}

// cause returns the cause of the context's end if it has ended, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
