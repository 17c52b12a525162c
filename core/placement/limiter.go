package placement

import "time"

const (
	// callsPerSlot is the assumed capacity of an upstream in calls per slot: one that runs and two that wait.
	callsPerSlot = 3
	// decreaseInterval is the minimum time between two decreases of the limit, so that a burst of rejections counts once.
	decreaseInterval = 100 * time.Millisecond
	// defaultCallTime is the assumed duration of a call before any has ended.
	defaultCallTime = 50 * time.Millisecond
	// callTimeWeight is the weight of one call's duration in the running mean.
	callTimeWeight = 0.1
)

// Waiter is a call queued at a Limiter.
type Waiter interface {
	// Admit is called when the call may proceed.
	Admit()
}

// Limiter limits the calls that one router has in flight at the upstreams of a service, and queues the others in FIFO
// order. The limit starts at the router's share of the upstreams' capacity. It adapts by additive increase and
// multiplicative decrease: it grows while calls are answered, and is halved when an upstream rejects a call because it is
// full. A Limiter is not safe for concurrent use.
type Limiter struct {
	limit        float64
	running      int
	waiting      []Waiter
	meanCallTime time.Duration
	decreasedAt  time.Time
}

// NewLimiter returns a limiter for upstreams with the given total of slots, shared by the given number of routers.
func NewLimiter(slots, routers int) *Limiter {
	return &Limiter{limit: max(1, float64(slots*callsPerSlot)/float64(max(1, routers))), meanCallTime: defaultCallTime}
}

// Acquire admits a call at once, or returns the expected waiting time and false.
func (l *Limiter) Acquire() (time.Duration, bool) {
	if len(l.waiting) == 0 && float64(l.running) < l.limit {
		l.running++
		return 0, true
	}
	return time.Duration(float64(l.meanCallTime) * float64(len(l.waiting)+1) / l.limit), false
}

// Enqueue appends a call to the queue.
func (l *Limiter) Enqueue(w Waiter) { l.waiting = append(l.waiting, w) }

// Cancel removes a call from the queue, or returns false if it was admitted before.
func (l *Limiter) Cancel(w Waiter) bool {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release records the end of a call and admits queued ones. If rejected is set, an upstream rejected the call because it
// was full.
func (l *Limiter) Release(rejected bool, took time.Duration, now time.Time) {
	full := float64(l.running) >= l.limit
	l.running--
	switch {
	case rejected && now.Sub(l.decreasedAt) >= decreaseInterval:
		l.decreasedAt = now
		l.limit = max(1, l.limit/2)
	case !rejected:
		l.meanCallTime += time.Duration(callTimeWeight * float64(took-l.meanCallTime))
		if full {
			l.limit += 1 / l.limit
		}
	}
	for len(l.waiting) > 0 && float64(l.running) < l.limit {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.running++
		next.Admit()
	}
}
