package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// silentOthers stands for the answers of other upstreams that are registered but have not answered yet.
	silentOthers = 2
	// excessFactor is how many times the rate of bad answers that the others show an upstream's or a failure domain's bad answers count, and
	// excessAllowance the bad answers of the others that are assumed beyond those seen.
	excessFactor    = 2
	excessAllowance = 0.5
)

// Evidence is what a router knows about the new version of an order under way.
type Evidence struct {
	// Elapsed is the time since the order was written, as far as known.
	Elapsed time.Duration
	// Requests are the requests of the service since the order, Exposed those sent to the new version.
	Requests, Exposed int
	// Verdict is the highest verdict known, and Reason why.
	Verdict Verdict
	Reason  string
	Routes  []RouteEvidence
	// Settled means that the router has listened long enough to have heard verdicts that others know.
	Settled bool
	// LongestMedian is the longest of the old versions' median durations by route.
	LongestMedian time.Duration
}

// RouteEvidence holds the answers on one route by the time at which they became known.
type RouteEvidence struct {
	Route Route
	Slots []Slot
}

// Slot holds the answers that became known in a part of the order's time. Bad answers that only one upstream or one failure domain of the
// version has given are left out.
type Slot struct {
	OldAnswers, OldBad float64
	NewAnswers, NewBad float64
}

// Evidence returns what this router knows.
func (t *Tracker) Evidence(now time.Time) Evidence {
	e := Evidence{
		Elapsed: t.Elapsed(now), Requests: t.counts.requests(), Exposed: t.exposure(), Verdict: t.verdict, Reason: t.reason,
		Settled: now.Sub(t.settleFrom) >= settleTime,
	}
	if r := t.current(); r != nil {
		e.Requests = max(e.Requests, r.Requests)
	}
	oldKept, newKept := t.kept()
	for _, route := range slices.Sorted(maps.Keys(t.counts.slots)) {
		e.Routes = append(e.Routes, t.routeEvidence(route, oldKept, newKept))
		if m, ok := t.counts.median(route); ok {
			e.LongestMedian = max(e.LongestMedian, m)
		}
	}
	return e
}

// exposure returns the requests sent to the new version, as far as known.
func (t *Tracker) exposure() int {
	n := t.counts.exposed()
	if r := t.current(); r != nil {
		n = max(n, r.Exposed)
	}
	return n
}

// routeEvidence returns the answers of a route without the bad answers that do not count.
func (t *Tracker) routeEvidence(route Route, oldKept, newKept map[source]float64) RouteEvidence {
	oldPart := t.keptPart(route, ClassOld, oldKept)
	newPart := t.keptPart(route, ClassNew, newKept)
	out := RouteEvidence{Route: route}
	for _, s := range t.counts.slots[route] {
		oldBad, newBad := float64(s.oldBad), float64(s.newBad)
		out.Slots = append(out.Slots, Slot{
			OldAnswers: float64(s.oldAnswers) - oldBad*(1-oldPart), OldBad: oldBad * oldPart,
			NewAnswers: float64(s.newAnswers) - newBad*(1-newPart), NewBad: newBad * newPart,
		})
	}
	return out
}

// keptPart returns the part of a class's bad answers on a route that counts, given the one of each source.
func (t *Tracker) keptPart(route Route, class Class, kept map[source]float64) float64 {
	bad, counted := 0.0, 0.0
	for k, c := range t.counts.sums {
		if k.route == route && k.class == class && c.Bad > 0 {
			bad += float64(c.Bad)
			counted += float64(c.Bad) * kept[source{k.upstream, k.domain}]
		}
	}
	if bad == 0 {
		return 1
	}
	return counted / bad
}

// isolated reports whether this router hears neither other routers nor the store, so that it would not learn of a rollback.
func (t *Tracker) isolated(now time.Time) bool {
	return len(t.counts.peers) > 0 && now.Sub(t.heardAt) > t.settings.Rollback*isolationPart/100
}
