package direct

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

// slotWaiter is a call that waits for a concurrency slot. The channel is closed when the call is admitted.
type slotWaiter struct{ admitted chan struct{} }

// Admit implements [placement.Waiter].
func (w *slotWaiter) Admit() { close(w.admitted) }

// limiter returns the concurrency limiter of a service. The caller must hold st.mu.
func (st *state) limiter(service ids.Service) *placement.Limiter {
	l, known := st.limiters[service]
	if !known {
		slots := 0
		for _, u := range st.fleet.Usable(service) {
			slots += u.Slots
		}
		l = placement.NewLimiter(slots, st.picker.Routers)
		st.limiters[service] = l
	}
	return l
}

// acquireSlot waits for a concurrency slot. A call whose expected wait exceeds its remaining time is refused at once, with
// the expected wait as Retry-After.
func (x *exchange) acquireSlot() error {
	x.mu.Lock()
	l := x.limiter(x.service.Name)
	wait, admitted := l.Acquire()
	if admitted {
		x.mu.Unlock()
		return nil
	}
	if wait > x.remaining()-minAnswerTime {
		x.mu.Unlock()
		f := fault.New(fault.QueueFull, "expected wait of %s exceeds the remaining time", wait)
		f.Kind.RetryAfter = wait
		return &refusedError{f}
	}
	w := &slotWaiter{admitted: make(chan struct{})}
	l.Enqueue(w)
	x.mu.Unlock()
	x.metrics.Counter("calls_waited", "service", string(x.service.Name)).Inc(1)
	select {
	case <-w.admitted:
		return nil
	case <-x.ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !l.Cancel(w) {
		l.Release(false, 0, x.clock.Now())
	}
	return errNotSent
}

// releaseSlot releases a call's slot. If rejected is set, the upstream refused the call because it was at capacity, and the
// limiter lowers its limit.
func (x *exchange) releaseSlot(rejected bool, callTime time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limiter(x.service.Name).Release(rejected, callTime, x.clock.Now())
}
