package placing

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

// Waiter is a call queued at a Gate.
type Waiter interface {
	// Admit is called when the call may proceed.
	Admit()
}

// Gate limits the calls that one router has in flight at the upstreams of a service, and queues the others in FIFO order.
// The limit starts at the router's share of the upstreams' capacity. It adapts by additive increase and multiplicative
// decrease: it grows while calls are answered, and is halved when an upstream rejects a call because it is full. Gate is
// not safe for concurrent use.
type Gate struct {
	limit        float64
	running      int
	waiting      []Waiter
	meanCallTime time.Duration
	decreasedAt  time.Time
}

// NewGate returns a limiter for upstreams with the given total of slots, shared by the given number of routers.
func NewGate(slots, routers int) *Gate {
	return &Gate{limit: max(1, float64(slots*callsPerSlot)/float64(max(1, routers))), meanCallTime: defaultCallTime}
}

// Enter admits a call at once, or returns the expected waiting time and false.
func (g *Gate) Enter() (time.Duration, bool) {
	if len(g.waiting) == 0 && float64(g.running) < g.limit {
		g.running++
		return 0, true
	}
	return time.Duration(float64(g.meanCallTime) * float64(len(g.waiting)+1) / g.limit), false
}

// Wait appends a call to the queue.
func (g *Gate) Wait(w Waiter) { g.waiting = append(g.waiting, w) }

// GiveUp removes a call from the queue, or returns false if it was admitted before.
func (g *Gate) GiveUp(w Waiter) bool {
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Leave records the end of a call and admits queued ones. If rejected is set, an upstream rejected the call because it was
// full.
func (g *Gate) Leave(rejected bool, took time.Duration, now time.Time) {
	full := float64(g.running) >= g.limit
	g.running--
	switch {
	case rejected && now.Sub(g.decreasedAt) >= decreaseInterval:
		g.decreasedAt = now
		g.limit = max(1, g.limit/2)
	case !rejected:
		g.meanCallTime += time.Duration(callTimeWeight * float64(took-g.meanCallTime))
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
