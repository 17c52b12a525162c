package direct

import (
	"math/rand/v2"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

// slotWaiter is a call that waits for a concurrency slot. The channel decided is closed when it is admitted or refused.
type slotWaiter struct {
	decided chan struct{}
	refused bool
	// wait is the time after which there may be room for a refused call.
	wait time.Duration
}

// Admit implements [placement.Waiter].
func (w *slotWaiter) Admit() { close(w.decided) }

// Refuse implements [placement.Waiter].
func (w *slotWaiter) Refuse(wait time.Duration) {
	w.refused, w.wait = true, wait
	close(w.decided)
}

// queued returns what decides on the order in which the call is served.
func (x *exchange) queued() placement.Call {
	c := placement.Call{Rank: x.priority, Deadline: x.deadline.Add(-minAnswerTime)}
	if x.route.TargetLatency > 0 {
		c.OnTime = x.arrivedAt.Add(x.route.TargetLatency)
	}
	return c
}

// queueFull returns the refusal of a call that cannot be served in time. The spread keeps callers from returning at once.
func (x *exchange) queueFull(wait time.Duration) error {
	f := fault.New(fault.QueueFull, "expected wait of %s exceeds the remaining time", wait)
	f.Kind.RetryAfter = wait + time.Duration(rand.Float64()*float64(wait)/2)
	return &refusedError{f}
}

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
	c := x.queued()
	wait, admitted := l.Acquire(c, x.clock.Now())
	if admitted {
		x.mu.Unlock()
		return nil
	}
	if wait > x.remaining()-minAnswerTime {
		x.mu.Unlock()
		return x.queueFull(wait)
	}
	w := &slotWaiter{decided: make(chan struct{})}
	l.Enqueue(w, c)
	x.scheduleAdmission(l)
	x.mu.Unlock()
	x.metrics.Counter("calls_waited", "service", string(x.service.Name)).Inc(1)
	select {
	case <-w.decided:
		if w.refused {
			return x.queueFull(w.wait)
		}
		return nil
	case <-x.ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !l.Cancel(w) && !w.refused {
		l.Release(placement.CallEnd{Took: l.MeanCallTime()}, x.clock.Now())
		x.scheduleAdmission(l)
	}
	return errNotSent
}

// releaseSlot releases a call's slot.
func (x *exchange) releaseSlot(e placement.CallEnd) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	slots := map[ids.VM]int{}
	for _, u := range x.fleet.Usable(x.service.Name) {
		slots[u.ID] = u.Slots
	}
	e.QueuedPerSlot = x.calls.QueuedPerSlot(slots, now)
	l := x.limiter(x.service.Name)
	l.Release(e, now)
	x.scheduleAdmission(l)
}

// scheduleAdmission lets a limiter admit waiting calls when its pause ends. The caller must hold st.mu.
func (st *state) scheduleAdmission(l *placement.Limiter) {
	at, waits := l.NextAdmission()
	if !waits || st.admissionDue[l] {
		return
	}
	st.admissionDue[l] = true
	st.clock.AfterFunc(max(0, at.Sub(st.clock.Now())), func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		delete(st.admissionDue, l)
		l.Admit(st.clock.Now())
		st.scheduleAdmission(l)
	})
}
