package placement

import "time"

const (
	// queuedPerSlot is the number of calls for each slot that upstreams are taken to hold: those that run, and as many that
	// wait for a slot twice over.
	queuedPerSlot = 3
	// shedPause is the least time between two cuts of the limit: the refusals of one moment count as one.
	shedPause = 100 * time.Millisecond
	// defaultCall is the duration of a call of which nothing was measured.
	defaultCall = 50 * time.Millisecond
	// callWeight is the weight of a call's duration in the running mean.
	callWeight = 0.1
)

// Waiter stands for a call that waits at a gate.
type Waiter interface {
	// Admit lets the call go on.
	Admit()
}

// Limiter bounds the calls that one router has under way at the upstreams of a service, and lets the others wait in order. The
// limit begins at the router's share of what the upstreams hold, grows while calls are answered, and is halved when an
// upstream refuses one as full. It is not safe for concurrent use.
type Limiter struct {
	limit   float64
	running int
	waiting []Waiter
	usual   time.Duration
	cutAt   time.Time
}

// NewLimiter returns a gate for upstreams with that many slots together, shared by that many routers.
func NewLimiter(slots, routers int) *Limiter {
	return &Limiter{limit: max(1, float64(slots*queuedPerSlot)/float64(max(1, routers))), usual: defaultCall}
}

// Acquire admits a call at once, or tells how long it would wait.
func (g *Limiter) Acquire() (time.Duration, bool) {
	if len(g.waiting) == 0 && float64(g.running) < g.limit {
		g.running++
		return 0, true
	}
	return time.Duration(float64(g.usual) * float64(len(g.waiting)+1) / g.limit), false
}

// Enqueue puts a call at the end of the queue.
func (g *Limiter) Enqueue(w Waiter) { g.waiting = append(g.waiting, w) }

// Cancel takes a call out of the queue; false means that it was admitted before.
func (g *Limiter) Cancel(w Waiter) bool {
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release notes the end of a call and admits others. Shed tells that an upstream refused it as full.
func (g *Limiter) Release(shed bool, took time.Duration, now time.Time) {
	full := float64(g.running) >= g.limit
	g.running--
	switch {
	case shed && now.Sub(g.cutAt) >= shedPause:
		g.cutAt = now
		g.limit = max(1, g.limit/2)
	case !shed:
		g.usual += time.Duration(callWeight * float64(took-g.usual))
		if full {
			g.limit += 1 / g.limit
		}
	}
	for len(g.waiting) > 0 && float64(g.running) < g.limit {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.running++
		next.Admit()
	}
}
