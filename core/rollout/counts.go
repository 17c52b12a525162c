package rollout

import (
	"cmp"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// minSlot and slotsPerOrder give the length of the slots over which old and new are compared.
	// Within a second a fault that begins or ends hits the versions unequally when the share changes.
	minSlot       = 500 * time.Millisecond
	slotsPerOrder = 128
	// maxSlots bounds the slots. An order that takes longer counts in the last one.
	maxSlots = 2 * slotsPerOrder
	// maxPeers bounds the starts of other routers whose counts are kept.
	maxPeers = 2048
	// maxOwnCells bounds the cells of this router.
	maxOwnCells = 4096
)

type cellKey struct {
	route    Route
	class    Class
	domain   ids.FailureDomain
	upstream ids.VM
}

func (k cellKey) compare(o cellKey) int {
	return cmp.Or(cmp.Compare(k.route, o.route), cmp.Compare(k.class, o.class), cmp.Compare(k.domain, o.domain), cmp.Compare(k.upstream, o.upstream))
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Requests + o.Requests, c.Sent + o.Sent, c.Answers + o.Answers, c.Bad + o.Bad}
}

// minus subtracts counts that were added before.
func (c Counts) minus(o Counts) Counts {
	return Counts{c.Requests - o.Requests, c.Sent - o.Sent, c.Answers - o.Answers, c.Bad - o.Bad}
}

// peerKey is one start of another router.
type peerKey struct {
	router  ids.VM
	started int64
}

type peerCounts struct {
	sequence  uint64
	cells     []Cell
	durations []DurationCount
}

// slot holds the answers of one route that became known in a part of the order's time.
type slot struct{ oldAnswers, oldBad, newAnswers, newBad int }

// counts holds the counts of one order, as far as this router knows them.
type counts struct {
	slotLength time.Duration
	own        map[cellKey]*Counts
	sums       map[cellKey]Counts
	peers      map[peerKey]*peerCounts
	slots      map[Route][]slot
	// suspects are the upstreams at which any router has seen a bad answer.
	suspects map[ids.VM]bool
	pending  map[*Sent]bool
	// ownHistogram holds the durations of the old versions' latest answers at this router, also from before the order, and histogram those
	// of all routers.
	ownHistogram, histogram map[Route]*histogram
}

func (c *counts) reset(d time.Duration) {
	own := c.ownHistogram
	if own == nil {
		own = map[Route]*histogram{}
	}
	all := map[Route]*histogram{}
	for route, h := range own {
		sum := *h
		all[route] = &sum
	}
	*c = counts{
		slotLength: max(minSlot, d/slotsPerOrder), own: map[cellKey]*Counts{}, sums: map[cellKey]Counts{}, peers: map[peerKey]*peerCounts{},
		slots: map[Route][]slot{}, suspects: map[ids.VM]bool{}, pending: map[*Sent]bool{},
		ownHistogram: own, histogram: all,
	}
}

// addOwn adds counts of this router.
func (c *counts) addOwn(k cellKey, n Counts, elapsed time.Duration) {
	if c.own[k] == nil {
		if len(c.own) >= maxOwnCells {
			k.upstream = ""
		}
		c.own[k] = &Counts{}
	}
	*c.own[k] = c.own[k].plus(n)
	c.sums[k] = c.sums[k].plus(n)
	if n.Bad > 0 {
		c.suspects[k.upstream] = true
	}
	c.addSlot(k.route, k.class, int(n.Answers), int(n.Bad), elapsed)
}

func (c *counts) addSlot(route Route, class Class, answers, bad int, elapsed time.Duration) {
	if answers <= 0 && bad <= 0 || class == ClassOther {
		return
	}
	i := min(maxSlots-1, max(0, int(elapsed/c.slotLength)))
	for len(c.slots[route]) <= i {
		c.slots[route] = append(c.slots[route], slot{})
	}
	s := &c.slots[route][i]
	if class == ClassNew {
		s.newAnswers, s.newBad = s.newAnswers+max(0, answers), s.newBad+max(0, bad)
	} else {
		s.oldAnswers, s.oldBad = s.oldAnswers+max(0, answers), s.oldBad+max(0, bad)
	}
}

// merge replaces the counts of another router.
func (c *counts) merge(r Report, elapsed time.Duration) {
	key := peerKey{r.Router, r.Started}
	p := c.peers[key]
	if p == nil {
		if len(c.peers) >= maxPeers {
			return
		}
		p = &peerCounts{}
		c.peers[key] = p
	}
	if r.Sequence <= p.sequence {
		return
	}
	delta := map[cellKey]slot{}
	for _, cell := range p.cells {
		c.replace(cell, delta, -1)
	}
	for _, cell := range r.Cells {
		c.replace(cell, delta, 1)
	}
	for k, d := range delta {
		c.addSlot(k.route, k.class, d.newAnswers, d.newBad, elapsed)
	}
	for _, d := range p.durations {
		c.histogramOf(d.Route).add(d.Bucket, -int(d.Count))
	}
	for _, d := range r.Durations {
		c.histogramOf(d.Route).add(d.Bucket, int(d.Count))
	}
	*p = peerCounts{r.Sequence, r.Cells, r.Durations}
}

// replace adds a cell of another router to the sums, or takes it away, and adds its answers to those of its route and class.
func (c *counts) replace(cell Cell, delta map[cellKey]slot, sign int) {
	k := cellKey{cell.Route, cell.Class, cell.Domain, cell.Upstream}
	if sign > 0 {
		c.sums[k] = c.sums[k].plus(cell.Counts)
	} else {
		c.sums[k] = c.sums[k].minus(cell.Counts)
	}
	if cell.Bad > 0 {
		c.suspects[cell.Upstream] = true
	}
	k = cellKey{route: cell.Route, class: cell.Class}
	d := delta[k]
	d.newAnswers += sign * int(cell.Answers)
	d.newBad += sign * int(cell.Bad)
	delta[k] = d
}

// requests returns the requests of callers to the service.
func (c *counts) requests() int {
	n := 0
	for _, s := range c.sums {
		n += int(s.Requests)
	}
	return n
}

// exposed returns the requests sent to the new version.
func (c *counts) exposed() int {
	n := 0
	for k, s := range c.sums {
		if k.class == ClassNew {
			n += int(s.Sent)
		}
	}
	return n
}
