package direct

import (
	"errors"
	"time"

	"bilberrylug.dev/core/fault"
)

// countRefusal counts an attempt that did not run.
func (x *exchange) countRefusal(err error) {
	if !errors.Is(err, errNotRun) && !errors.Is(err, errAddressReused) {
		return
	}
	x.refusals++
	if !errors.Is(err, errNotSent) {
		x.notRun++
	}
}

// runs returns the number of upstreams that may have run the request.
func (x *exchange) runs() int { return x.attempts - x.notRun }

// checkRetry returns nil if a failed request may be sent again, and charges the retry to the retry budget. Otherwise it
// returns the final fault, with the given code if the attempts or the budget are used up.
func (x *exchange) checkRetry(err error, exhausted fault.Code) error {
	if x.remaining() < minAnswerTime {
		return x.deadlineError()
	}
	if x.mayHaveRun && !x.route.Retryable() {
		return fault.Wrap(fault.CallOutcomeUnknown, err, "sent once")
	}
	if x.runs() >= x.route.MaxAttempts || x.refusals >= maxRefusals && !x.awaitConnection(err) {
		return fault.Wrap(exhausted, err, "after %d attempts", x.attempts)
	}
	if !x.chargeRetry() {
		return fault.Wrap(exhausted, err, "retry budget used up")
	}
	return nil
}

const (
	// maxConnectWait bounds how long a request that has run waits for a connection for its next attempt. Upstreams that are gone are
	// known to be by then.
	maxConnectWait = 3 * time.Second
	// connectPause is the pause between two such attempts.
	connectPause = 100 * time.Millisecond
)

// awaitConnection pauses before the next attempt of a request that has run and finds no connection, and returns false if the request is
// to be given up. Such a request cannot be refused as not run any more.
func (x *exchange) awaitConnection(err error) bool {
	if !x.mayHaveRun || !errors.Is(err, errNotSent) {
		return false
	}
	now := x.clock.Now()
	if x.noConnectionSince.IsZero() {
		x.noConnectionSince = now
	}
	if now.Sub(x.noConnectionSince) > maxConnectWait {
		return false
	}
	select {
	case <-x.ctx.Done():
	case <-x.clock.After(connectPause):
	}
	return true
}

// chargeRetry charges the next attempt to the retry budget, unless it is the first, and reports whether it is allowed. An attempt
// that finds no connection leaves its charge to the next one until it is older than a bucket of the budget.
func (x *exchange) chargeRetry() bool {
	now := x.clock.Now()
	if x.attempts == 0 || !x.chargedAt.IsZero() && now.Sub(x.chargedAt) <= x.chargeLifetime() {
		return true
	}
	x.chargedAt = time.Time{}
	if x.allowRetry(x.service.Name) {
		x.chargedAt = now
	}
	return !x.chargedAt.IsZero()
}

// chargeLifetime is the age up to which a charge counts in the budget about as long as the retry itself would.
func (x *exchange) chargeLifetime() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.budget.Bucket()
}

// countAttempt counts an attempt for which there is a connection.
func (x *exchange) countAttempt() {
	x.attempts++
	x.noConnectionSince = time.Time{}
	x.chargedAt = time.Time{}
}

// deadlineError returns the fault for a request whose deadline has passed.
func (x *exchange) deadlineError() error {
	code := fault.DeadlineExceeded
	if x.mayHaveRun {
		code = fault.TimedOut
	}
	return fault.New(code, "after %s", x.clock.Since(x.arrivedAt))
}

// noUpstreamError returns the fault for a request whose service has no available upstream.
func (x *exchange) noUpstreamError() *fault.Error {
	f := fault.New(fault.NoUpstream, "service %s", x.service.Name)
	f.Kind.RetryAfter = upstreamRetryAfter
	return f
}

// upstreamRetryAfter is the Retry-After for a service without upstreams. One is likely to be available again by then, since
// lost upstreams are probed once a second.
const upstreamRetryAfter = 500 * time.Millisecond

// maxRefusals is the number of refused attempts after which the request itself is refused.
const maxRefusals = 6

// mayRetry reports whether the request may be sent again after an upstream has run it.
func (x *exchange) mayRetry() bool {
	return x.route.Retryable() && x.runs() < x.route.MaxAttempts
}
