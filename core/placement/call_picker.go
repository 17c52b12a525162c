package placement

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// reportLifetime is how long a report of an upstream or another router is used; the load of an upstream's noisy
	// neighbours changes within that time.
	reportLifetime = 500 * time.Millisecond
	// remoteCallCost favours the router's own failure domain, since bytes and round trips between domains are costly. It is
	// given in calls in flight.
	remoteCallCost = 0.35
	// routersPerEjection is the number of other routers of which one must have ejected an upstream. If one call in seven fails through no
	// fault of the upstream, one of two dozen routers sees three in a row every few seconds, which must not cost all of them a part
	// of the service's room; an upstream that fails every call is ejected by each router that uses it.
	routersPerEjection = 8
	// suspectCallCost ranks ejected upstreams and those of a suspected failure domain behind all others. It is given in
	// calls in flight.
	suspectCallCost = 100
	// windowCallCost ranks upstreams whose window is full behind those with a free slot, and before those at which calls wait. It is given
	// in loads of all slots.
	windowCallCost = 1
)

// CallPicker picks upstreams for short calls: the one with the least work relative to its slots and speed. It is not safe
// for concurrent use.
type CallPicker struct {
	*OutlierDetector
	domain  ids.FailureDomain
	own     map[ids.VM]int
	peers   map[ids.VM]peerCalls
	reports map[ids.VM]loadReport
}

type peerCalls struct {
	at    time.Time
	calls map[ids.VM]int
	// ejected are the upstreams that the router has ejected.
	ejected []ids.VM
}

type loadReport struct {
	at       time.Time
	busy     int
	slowness float64
	// ownAtReport is the number of this router's calls that were in flight when the report arrived; busy includes them.
	ownAtReport int
}

// NewCallPicker returns a picker for a router in the given failure domain.
func NewCallPicker(domain ids.FailureDomain) *CallPicker {
	return &CallPicker{OutlierDetector: &OutlierDetector{streaks: map[ids.VM]streak{}}, domain: domain, own: map[ids.VM]int{}, peers: map[ids.VM]peerCalls{}, reports: map[ids.VM]loadReport{}}
}

// OwnCalls returns the number of calls that this router has in flight at each upstream.
func (c *CallPicker) OwnCalls() map[ids.VM]int { return c.own }

// UpdatePeer replaces the calls in flight and the ejected upstreams that another router has reported.
func (c *CallPicker) UpdatePeer(router ids.VM, calls map[ids.VM]int, ejected []ids.VM, now time.Time) {
	for vm, peer := range c.peers {
		if now.Sub(peer.at) >= reportLifetime {
			delete(c.peers, vm)
		}
	}
	c.peers[router] = peerCalls{at: now, calls: calls, ejected: ejected}
}

// Start records the start of a call.
func (c *CallPicker) Start(id ids.VM) { c.own[id]++ }

// End records the end of a call.
func (c *CallPicker) End(id ids.VM) {
	c.own[id]--
	if c.own[id] <= 0 {
		delete(c.own, id)
	}
}

// RecordLoad records the load that an upstream reports about itself.
func (c *CallPicker) RecordLoad(id ids.VM, busy int, slowness float64, now time.Time) {
	c.reports[id] = loadReport{at: now, busy: busy, slowness: slowness, ownAtReport: c.own[id]}
}

// QueuedPerSlot returns how many calls wait at the upstreams with the given slots, as far as their reports say, per slot of all of them.
// Calls that wait at one of them while others are free do not count as a lack of room.
func (c *CallPicker) QueuedPerSlot(slots map[ids.VM]int, now time.Time) float64 {
	queued, total := 0, 0
	for id, n := range slots {
		total += n
		if r, known := c.reports[id]; known && now.Sub(r.at) < reportLifetime {
			queued += r.busy - n
		}
	}
	return float64(max(0, queued)) / float64(max(1, total))
}

// Forget deletes the report and the failures of an upstream that no longer exists.
func (c *CallPicker) Forget(id ids.VM) {
	delete(c.reports, id)
	delete(c.streaks, id)
}

// Pick returns the candidate with the least work relative to its slots and speed, or false if the list is empty.
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
	own, others := c.InFlight(u.ID, now)
	work := float64(own + others)
	slowness := c.ReportedSlowness(u.ID, now)
	// Calls beyond the slots wait until another call has ended.
	excess := max(0, work+1-float64(slots))
	cost := slowness * (1 + work/float64(slots) + 2*excess/float64(slots))
	if u.Domain != c.domain {
		cost += remoteCallCost
	}
	if u.Suspect || c.ejected(u.ID, now) {
		cost += suspectCallCost
	}
	if u.WindowFull {
		cost += windowCallCost
	}
	return cost
}

// InFlight returns the calls that this router has in flight at an upstream, and those that others have as far as known.
func (c *CallPicker) InFlight(id ids.VM, now time.Time) (own, others int) {
	own = c.own[id]
	if r, known := c.reports[id]; known && now.Sub(r.at) < reportLifetime {
		return own, max(0, r.busy-r.ownAtReport)
	}
	for _, peer := range c.peers {
		if now.Sub(peer.at) < reportLifetime {
			others += peer.calls[id]
		}
	}
	return own, others
}

// ReportedSlowness returns how much longer than usual calls take at an upstream by its own report, as a factor.
func (c *CallPicker) ReportedSlowness(id ids.VM, now time.Time) float64 {
	if r, known := c.reports[id]; known && now.Sub(r.at) < reportLifetime {
		return max(0.5, r.slowness)
	}
	return 1
}

// ejected reports whether this router has ejected an upstream, or a part of the others large enough that it is no chance.
func (c *CallPicker) ejected(id ids.VM, now time.Time) bool {
	if c.isEjected(id, now) {
		return true
	}
	routers, ejecting := 0, 0
	for _, peer := range c.peers {
		if now.Sub(peer.at) >= reportLifetime {
			continue
		}
		routers++
		if slices.Contains(peer.ejected, id) {
			ejecting++
		}
	}
	return ejecting > 0 && ejecting*routersPerEjection >= routers
}
