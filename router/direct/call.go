package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
)

const (
	// dialTime bounds the opening of a connection; a round trip takes some milliseconds, a lost packet costs a second.
	dialTime = 250 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is complete.
	maxAnswerBytes = 8 << 20
	// hopelessTime is the shortest time in which an upstream can answer at all.
	hopelessTime = 5 * time.Millisecond
	// firstShare is the part of the remaining time that an idempotent call's attempt may use while another is allowed.
	firstShare = 0.45
)

var (
	errNotRun    = errors.New("the upstream has not run it")
	errShed      = fmt.Errorf("%w: it is full", errNotRun)
	errMoved     = errors.New("another upstream has the address")
	errTruncated = errors.New("the answer is not complete")
	errTooSlow   = errors.New("no answer within the attempt's time")
)

// answer is a complete answer of an upstream.
type answer struct {
	resp *http.Response
	body []byte
}

// call answers a request of a plain service: the answer is passed on when it is complete.
func (x *exchange) call() {
	var failed *answer
	tried := map[ids.VM]bool{}
	for {
		a, u, err := x.tryInTurn(tried)
		if refusal := (*fault.Error)(nil); errors.As(err, &refusal) {
			x.endCall(failed, refusal)
			return
		}
		if err == nil && (a.resp.StatusCode < http.StatusInternalServerError || !x.mayRepeat()) {
			x.pass(a)
			return
		}
		if err == nil {
			failed = a
		}
		if x.callerGone() {
			x.logEnd(0, "outcome", "caller left")
			return
		}
		if errors.Is(err, errNotRun) || errors.Is(err, errMoved) {
			x.refusals++
		}
		if final := x.again(err, fault.QueueFull); final != nil {
			x.endCall(failed, final)
			return
		}
		tried[u.ID] = true
	}
}

// tryInTurn sends the request once, when it is its turn. A fault is the call's final answer.
func (x *exchange) tryInTurn(tried map[ids.VM]bool) (*answer, fleet.Upstream, error) {
	if err := x.enterGate(); err != nil {
		return nil, fleet.Upstream{}, err
	}
	began := x.clock.Now()
	u, ok := x.pickCall(tried)
	if !ok {
		x.leaveGate(false, 0)
		return nil, u, x.noUpstream()
	}
	a, err := x.tryCall(u, tried)
	x.leaveGate(errors.Is(err, errShed), x.clock.Since(began))
	return a, u, err
}

// again decides whether a request that was not answered well is sent again; the fault is its final answer if not, with the given
// code when no further sending is allowed.
func (x *exchange) again(err error, exhausted fault.Code) error {
	if x.left() < hopelessTime {
		return x.outOfTime()
	}
	if x.mayHaveRun && !x.route.Retryable() {
		return fault.Wrap(fault.CallOutcomeUnknown, err, "sent once")
	}
	if x.refusals >= notRunAttempts || x.attempts-x.refusals >= x.route.MaxAttempts {
		return fault.Wrap(exhausted, err, "after %d attempts", x.attempts)
	}
	if x.attempts > 0 && !x.granted && !x.takeRepeat(x.service.Name) {
		return fault.Wrap(exhausted, err, "no repeat is allowed now")
	}
	x.granted = false
	return nil
}

// outOfTime is the final answer of a request whose time is over.
func (x *exchange) outOfTime() error {
	code := fault.DeadlineExceeded
	if x.mayHaveRun {
		code = fault.TimedOut
	}
	return fault.New(code, "after %s", x.clock.Since(x.began))
}

// noUpstream refuses a request for which no upstream is in use.
func (x *exchange) noUpstream() error {
	f := fault.New(fault.NoUpstream, "service %s", x.service.Name)
	f.Kind.RetryAfter = upstreamReturn
	return f
}

// upstreamReturn is when an upstream is likely to be back: a lost one is probed each second.
const upstreamReturn = 500 * time.Millisecond

// notRunAttempts bounds the upstreams that may refuse a request before the caller is told.
const notRunAttempts = 6

// mayRepeat tells whether the request may be sent once more after it ran.
func (x *exchange) mayRepeat() bool {
	return x.route.Retryable() && x.attempts-x.refusals < x.route.MaxAttempts
}

// endCall passes an upstream's own failure on, if there is one, and refuses otherwise.
func (x *exchange) endCall(failed *answer, err error) {
	if failed != nil {
		x.pass(failed)
		return
	}
	x.refuse(err)
}

func (x *exchange) pass(a *answer) {
	x.copyHeader(a.resp)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.resp.StatusCode)
	_, err := x.w.Write(a.body)
	x.logEnd(a.resp.StatusCode, "bytes", len(a.body), "delivered", err == nil)
}

// candidates returns the usable upstreams of the request's service, without those already tried while others are left.
func (x *exchange) candidates(tried map[ids.VM]bool, now time.Time) ([]placement.Candidate, map[ids.VM]fleet.Upstream) {
	all := x.fleet.Usable(x.service.Name)
	byID := make(map[ids.VM]fleet.Upstream, len(all))
	list := make([]placement.Candidate, 0, len(all))
	var again []placement.Candidate
	for _, u := range all {
		byID[u.ID] = u
		c := placement.Candidate{ID: u.ID, Domain: u.Domain, Suspect: x.fleet.IsSuspected(u, now)}
		if tried[u.ID] {
			again = append(again, c)
		} else {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		list = again
	}
	return list, byID
}

func (x *exchange) pickCall(tried map[ids.VM]bool) (fleet.Upstream, bool) {
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	list, byID := x.candidates(tried, now)
	slots := make(map[ids.VM]int, len(list))
	for id, u := range byID {
		slots[id] = u.Slots
	}
	c, ok := x.calls.Pick(list, slots, now)
	if !ok {
		return fleet.Upstream{}, false
	}
	x.calls.Start(c.ID)
	return byID[c.ID], true
}

// tryCall sends the request once and reads the whole answer.
func (x *exchange) tryCall(u fleet.Upstream, tried map[ids.VM]bool) (*answer, error) {
	defer func() {
		x.mu.Lock()
		x.calls.End(u.ID)
		x.mu.Unlock()
	}()
	ctx := x.ctx
	if x.route.Kind == routing.Idempotent && x.attempts-x.refusals+1 < x.route.MaxAttempts {
		limited, cancel := context.WithTimeoutCause(ctx, time.Duration(firstShare*float64(x.left())), errTooSlow)
		defer cancel()
		ctx = limited
	}
	conn, err := x.connect(ctx, u)
	if err != nil {
		return nil, err
	}
	x.attempts++
	x.logAttempt(u.ID, "domain", u.Domain, "tried_before", len(tried), "reused", conn.Reused())
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	a, err := x.exchangeCall(ctx, conn, u)
	if err != nil {
		conn.Close()
	} else if stop() {
		conn.Release()
	}
	x.noteOutcome(u, a, err)
	x.logAttemptEnd(u.ID, err)
	return a, err
}

// connect opens or takes a connection; a failure means that nothing was sent.
func (x *exchange) connect(ctx context.Context, u fleet.Upstream) (connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	conn, err := x.pool.Get(ctx, u.Address)
	if err != nil {
		if x.callerGone() {
			return nil, errNotRun
		}
		x.lost(u, "connect: "+err.Error())
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	return conn, nil
}

func (x *exchange) exchangeCall(ctx context.Context, conn connection, u fleet.Upstream) (*answer, error) {
	before := x.mayHaveRun
	x.mayHaveRun = true
	//nolint:bodyclose // The connection owns the body: Done or Close ends it.
	resp, err := conn.Do(ctx, x.outgoing(relay.Attempt{Upstream: u.ID, Workspace: x.ws, Deadline: x.left()}))
	if err != nil {
		return nil, cause(ctx, err)
	}
	reply := x.dialect.Reply(resp)
	x.mu.Lock()
	if !reply.OtherUpstream {
		x.fleet.RecordAnswer(u.ID, x.clock.Now())
	}
	if l := reply.Load; l.Known {
		x.calls.RecordLoad(u.ID, l.Running+l.Waiting, l.Slowness, x.clock.Now())
	}
	x.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if reply.NotRun {
		x.mayHaveRun = before
		if reply.OtherUpstream {
			x.adopt(u, reply.Upstream)
			return nil, errMoved
		}
		return nil, errShed
	}
	if err != nil || len(body) > maxAnswerBytes {
		return nil, cause(ctx, errTruncated)
	}
	if !reply.Signed {
		return nil, errors.New("the answer is not signed")
	}
	return &answer{resp, body}, nil
}

// noteOutcome draws a conclusion on the upstream from an exchange.
func (x *exchange) noteOutcome(u fleet.Upstream, a *answer, err error) {
	if errors.Is(err, errNotRun) || errors.Is(err, errMoved) || x.callerGone() {
		return
	}
	x.mu.Lock()
	kept := x.calls.RecordOutcome(u.ID, err != nil || a.resp.StatusCode >= http.StatusInternalServerError, x.clock.Now())
	x.mu.Unlock()
	if kept {
		x.log.Write(event.UpstreamFailing, "upstream", u.ID, "request", x.req.ID)
	}
	if err != nil {
		x.probes.check(u)
	}
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
