package placement

import "time"

const (
	// callsPerSlot is the assumed capacity of an upstream in calls per slot: one that runs and two that wait.
	callsPerSlot = 3
	// decreaseInterval is the minimum time between two decreases of the limit, so that a burst of rejections counts once.
	decreaseInterval = 100 * time.Millisecond
	// maxQueuedPerSlot is the number of calls that wait at the upstreams, per slot, above which the limit decreases. Calls that wait at
	// the router instead are served in the order of their targets, and at whichever upstream is free first.
	maxQueuedPerSlot = 0.25
	// maxQueuedPaced is the same number for a limit of one or less. Routers that pause between calls do not know when the others do, so
	// that a shorter queue would leave slots empty.
	maxQueuedPaced = 1
	// queueDecrease is the factor of that decrease. Calls that wait at an upstream do no harm at once, unlike rejected ones.
	queueDecrease = 0.85
	// minLimit bounds the limit from below. Below one, a router sends one call at a time and pauses between them: many routers that each
	// have one call in flight at a few upstreams are too many.
	minLimit = 0.25
	// pacedGrowth is the factor by which a limit below one grows with each answered call.
	pacedGrowth = 1.5
	// defaultCallTime is the assumed duration of a call before any has ended.
	defaultCallTime = 50 * time.Millisecond
	// callTimeWeight is the weight of one call's duration in the running mean.
	callTimeWeight = 0.1
)

// Waiter is a call queued at a Limiter. One of its methods is called once, unless the call is cancelled before.
type Waiter interface {
	// Admit is called when the call may proceed.
	Admit()
	// Refuse is called when the call cannot be served in time any more. The wait is the time after which there may be room.
	Refuse(wait time.Duration)
}

// CallEnd is how a call ended.
type CallEnd struct {
	// Rejected is set if an upstream rejected the call because it was full.
	Rejected bool
	// QueuedPerSlot is the number of calls that wait at the upstreams of the service, per slot.
	QueuedPerSlot float64
	// Took is the duration of the call.
	Took time.Duration
}

// Limiter limits the calls that one router has in flight at the upstreams of a service, and queues the others in the order of a
// [CallQueue]. The limit starts at the router's share of the upstreams' capacity. It adapts by additive increase and
// multiplicative decrease: it grows while calls are answered, decreases while calls wait at the upstreams, and is halved when an
// upstream rejects a call because it is full. A Limiter is not safe for concurrent use.
type Limiter struct {
	limit        float64
	running      int
	waiting      CallQueue
	meanCallTime time.Duration
	decreasedAt  time.Time
	// pausedUntil is the time before which no call is admitted, if the limit is below one.
	pausedUntil time.Time
}

// NewLimiter returns a limiter for upstreams with the given total of slots, shared by the given number of routers.
func NewLimiter(slots, routers int) *Limiter {
	return &Limiter{limit: max(1, float64(slots*callsPerSlot)/float64(max(1, routers))), meanCallTime: defaultCallTime}
}

// Acquire admits a call at once, or returns the expected waiting time and false.
func (l *Limiter) Acquire(c Call, now time.Time) (time.Duration, bool) {
	if l.waiting.Len() == 0 && l.admits(now) {
		l.running++
		return 0, true
	}
	return l.waitAfter(l.waiting.Ahead(c, now, l.meanCallTime, l.limit)), false
}

// admits reports whether a call may start.
func (l *Limiter) admits(now time.Time) bool {
	return float64(l.running) < l.limit && !now.Before(l.pausedUntil)
}

// NextAdmission returns when the router should call Admit, if calls wait for the end of a pause.
func (l *Limiter) NextAdmission() (time.Time, bool) {
	return l.pausedUntil, l.waiting.Len() > 0 && float64(l.running) < l.limit
}

// waitAfter returns the expected waiting time of a call behind others.
func (l *Limiter) waitAfter(calls int) time.Duration {
	return time.Duration(float64(l.meanCallTime) * float64(calls+1) / l.limit)
}

// MeanCallTime returns the moving average of the durations of calls.
func (l *Limiter) MeanCallTime() time.Duration { return l.meanCallTime }

// Enqueue queues a call.
func (l *Limiter) Enqueue(w Waiter, c Call) { l.waiting.Push(w, c) }

// Cancel removes a call from the queue, or returns false if it was admitted or refused before.
func (l *Limiter) Cancel(w Waiter) bool { return l.waiting.Remove(w) }

// Release records the end of a call, admits queued ones and refuses those that cannot be served in time any more.
func (l *Limiter) Release(e CallEnd, now time.Time) {
	full := float64(l.running) >= l.limit
	l.running--
	mayDecrease := now.Sub(l.decreasedAt) >= decreaseInterval
	if !e.Rejected {
		l.meanCallTime += time.Duration(callTimeWeight * float64(e.Took-l.meanCallTime))
	}
	switch {
	case e.Rejected && mayDecrease:
		l.decrease(0.5, now)
	case e.Rejected:
	case e.QueuedPerSlot > l.maxQueued() && mayDecrease:
		l.decrease(queueDecrease, now)
	case e.QueuedPerSlot > l.maxQueued():
	case l.limit < 1:
		l.limit *= pacedGrowth
	case full:
		l.limit += 1 / l.limit
	}
	if l.limit < 1 {
		l.pausedUntil = now.Add(time.Duration(float64(l.meanCallTime) * (1/l.limit - 1)))
	}
	l.Admit(now)
}

// Admit admits queued calls for which there is room, and refuses those that cannot be served in time any more.
func (l *Limiter) Admit(now time.Time) {
	for _, w := range l.waiting.Hopeless(now, l.meanCallTime, l.waitAfter) {
		w.Refuse(l.waitAfter(l.waiting.Len()))
	}
	for l.waiting.Len() > 0 && l.admits(now) {
		l.running++
		l.waiting.Pop(now, l.meanCallTime).Admit()
	}
}

func (l *Limiter) maxQueued() float64 {
	if l.limit <= 1 {
		return maxQueuedPaced
	}
	return maxQueuedPerSlot
}

func (l *Limiter) decrease(factor float64, now time.Time) {
	l.decreasedAt = now
	l.limit = max(minLimit, factor*l.limit)
}
