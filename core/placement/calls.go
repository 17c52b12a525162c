package placement

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// reportLifetime is how long an upstream's word on its load is used; its neighbours' load changes within that time.
	reportLifetime = 500 * time.Millisecond
	// remoteCall prefers the own failure domain: bytes and round trips between domains cost, in calls under way.
	remoteCall = 0.35
	// suspectCall puts upstreams of a failure domain that is being lost behind others, in calls under way.
	suspectCall = 100
)

// CallPicker chooses upstreams for short calls: the one with the least work for its speed. It is not safe for concurrent use.
type CallPicker struct {
	*OutlierDetector
	domain ids.FailureDomain
	own    map[ids.VM]int
	peers  map[ids.VM]callNews
	report map[ids.VM]callReport
}

type callNews struct {
	at    time.Time
	calls map[ids.VM]int
	// failing are the upstreams that the router keeps calls from.
	failing []ids.VM
}

type callReport struct {
	at       time.Time
	busy     int
	slowness float64
	// ownThen is how many of the busy ones were this router's.
	ownThen int
}

// NewCallPicker returns a chooser for a router of the given failure domain.
func NewCallPicker(domain ids.FailureDomain) *CallPicker {
	return &CallPicker{OutlierDetector: &OutlierDetector{streaks: map[ids.VM]streak{}}, domain: domain, own: map[ids.VM]int{}, peers: map[ids.VM]callNews{}, report: map[ids.VM]callReport{}}
}

// Own returns the calls that this router has under way.
func (c *CallPicker) Own() map[ids.VM]int { return c.own }

// UpdatePeer takes another router's word on all its calls and on the upstreams that fail them.
func (c *CallPicker) UpdatePeer(router ids.VM, calls map[ids.VM]int, failing []ids.VM, now time.Time) {
	c.peers[router] = callNews{at: now, calls: calls, failing: failing}
}

// Start notes a call; End that it is over.
func (c *CallPicker) Start(id ids.VM) { c.own[id]++ }

// Release notes that a call is over.
func (c *CallPicker) End(id ids.VM) {
	c.own[id]--
	if c.own[id] <= 0 {
		delete(c.own, id)
	}
}

// RecordLoad takes an upstream's word on its load.
func (c *CallPicker) RecordLoad(id ids.VM, busy int, slowness float64, now time.Time) {
	c.report[id] = callReport{at: now, busy: busy, slowness: slowness, ownThen: c.own[id]}
}

// Forget drops what an upstream that is gone has reported, and its failures.
func (c *CallPicker) Forget(id ids.VM) {
	delete(c.report, id)
	delete(c.streaks, id)
}

// Pick returns the candidate with the least work for its slots and speed.
func (c *CallPicker) Pick(list []Candidate, slots map[ids.VM]int, now time.Time) (Candidate, bool) {
	var best Candidate
	var bestCost float64
	found := false
	for _, u := range list {
		cost := c.cost(u, max(1, slots[u.ID]), now)
		if !found || cost < bestCost {
			best, bestCost, found = u, cost, true
		}
	}
	return best, found
}

func (c *CallPicker) cost(u Candidate, slots int, now time.Time) float64 {
	work := float64(c.own[u.ID])
	slowness := 1.0
	if r, known := c.report[u.ID]; known && now.Sub(r.at) < reportLifetime {
		work += float64(max(0, r.busy-r.ownThen))
		slowness = max(0.5, r.slowness)
	} else {
		for _, n := range c.peers {
			if now.Sub(n.at) < reportLifetime {
				work += float64(n.calls[u.ID])
			}
		}
	}
	// Work beyond the slots waits for a whole call to end.
	over := max(0, work+1-float64(slots))
	cost := slowness * (1 + work/float64(slots) + 2*over/float64(slots))
	if u.Domain != c.domain {
		cost += remoteCall
	}
	if u.Suspect || c.keptOut(u.ID, now) {
		cost += suspectCall
	}
	return cost
}

// keptOut tells whether this router or another keeps calls from an upstream that fails them.
func (c *CallPicker) keptOut(id ids.VM, now time.Time) bool {
	if c.failing(id, now) {
		return true
	}
	for _, n := range c.peers {
		if now.Sub(n.at) < reportLifetime && slices.Contains(n.failing, id) {
			return true
		}
	}
	return false
}
