package rollout

import (
	"maps"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// otherRoutes is the weight of an answer of another upstream on another route against the suspicion that only one upstream is bad.
	otherRoutes = 0.25
	// silentOthers stands for the answers of other upstreams that are registered but have not answered yet.
	silentOthers = 2
	// excessFactor is how many times the rate of bad answers that the others show an upstream's or a failure domain's bad answers count.
	excessFactor = 2
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
	for _, route := range slices.Sorted(maps.Keys(t.counts.slots)) {
		e.Routes = append(e.Routes, t.routeEvidence(route))
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

func (t *Tracker) routeEvidence(route Route) RouteEvidence {
	groups := t.groupsOf(route)
	oldKept := t.discount(groups[ClassOld], nil, 0)
	oldRate := 0.0
	if n := groups[ClassOld].total; n.answers > 0 {
		oldRate = oldKept * n.bad / n.answers
	}
	newKept := t.discount(groups[ClassNew], groups[ClassOld], oldRate)
	out := RouteEvidence{Route: route}
	for _, s := range t.counts.slots[route] {
		oldBad, newBad := float64(s.oldBad), float64(s.newBad)
		out.Slots = append(out.Slots, Slot{
			OldAnswers: float64(s.oldAnswers) - oldBad*(1-oldKept), OldBad: oldBad * oldKept,
			NewAnswers: float64(s.newAnswers) - newBad*(1-newKept), NewBad: newBad * newKept,
		})
	}
	return out
}

// tally sums up answers.
type tally struct{ answers, bad float64 }

func (a *tally) add(c Counts) {
	a.answers += float64(c.Answers)
	a.bad += float64(c.Bad)
}

// groups holds the answers of one class on one route by where they came from.
type groups struct {
	class     Class
	total     tally
	elsewhere tally
	upstreams map[ids.VM]*tally
	domainOf  map[ids.VM]ids.FailureDomain
	domains   map[ids.FailureDomain]*tally
	// otherUpstream and otherDomain hold the answers on other routes.
	otherUpstream map[ids.VM]float64
	otherDomain   map[ids.FailureDomain]float64
}

func (t *Tracker) groupsOf(route Route) map[Class]*groups {
	out := map[Class]*groups{}
	for _, class := range []Class{ClassOld, ClassNew} {
		out[class] = &groups{
			class: class, upstreams: map[ids.VM]*tally{}, domainOf: map[ids.VM]ids.FailureDomain{}, domains: map[ids.FailureDomain]*tally{},
			otherUpstream: map[ids.VM]float64{}, otherDomain: map[ids.FailureDomain]float64{},
		}
	}
	for k, c := range t.counts.sums {
		g := out[k.class]
		if g == nil {
			continue
		}
		if k.route != route {
			g.elsewhere.add(c)
			g.otherUpstream[k.upstream] += float64(c.Answers)
			g.otherDomain[k.domain] += float64(c.Answers)
			continue
		}
		g.total.add(c)
		if g.upstreams[k.upstream] == nil {
			g.upstreams[k.upstream] = &tally{}
			g.domainOf[k.upstream] = k.domain
		}
		g.upstreams[k.upstream].add(c)
		if g.domains[k.domain] == nil {
			g.domains[k.domain] = &tally{}
		}
		g.domains[k.domain].add(c)
	}
	return out
}

// discount returns the part of a class's bad answers on a route that counts. The bad answers of one upstream count up to twice the rate
// that the version's other upstreams show, and so do those of one failure domain. Bad answers that the old versions show in the same
// failure domain beyond their usual rate are left out as well.
func (t *Tracker) discount(g, old *groups, oldRate float64) float64 {
	if g.total.bad == 0 {
		return 1
	}
	upstreams, domains := t.presentOf(g.class)
	byDomain := map[ids.FailureDomain]float64{}
	for u, n := range g.upstreams {
		if u == "" {
			byDomain[g.domainOf[u]] += n.bad
			continue
		}
		others := tally{g.total.answers - n.answers + otherRoutes*(g.elsewhere.answers-g.otherUpstream[u]), g.total.bad - n.bad}
		byDomain[g.domainOf[u]] += limited(n.bad, n.answers, others, upstreams > 1)
	}
	bad := 0.0
	for _, b := range byDomain {
		bad += b
	}
	kept := 0.0
	for d, b := range byDomain {
		n := g.domains[d]
		others := tally{g.total.answers - n.answers + otherRoutes*(g.elsewhere.answers-g.otherDomain[d]), bad - b}
		b = limited(b, n.answers, others, domains > 1)
		if old != nil && old.domains[d] != nil {
			o := old.domains[d]
			b -= n.answers * max(0, o.bad/(o.answers+1)-oldRate)
		}
		kept += max(0, b)
	}
	return min(1, kept/g.total.bad)
}

// limited returns how many of a group's bad answers count, given the answers of the others.
func limited(bad, answers float64, others tally, present bool) float64 {
	n := others.answers + 1
	if present {
		n += silentOthers
	}
	return min(bad, answers*min(1, (excessFactor*others.bad+1)/n))
}

// presentOf returns the numbers of the registered upstreams of a class and of their failure domains.
func (t *Tracker) presentOf(class Class) (upstreams, domains int) {
	for _, p := range t.present {
		if t.policy.class(p.Version) == class {
			upstreams += p.Upstreams
			domains = max(domains, p.Domains)
		}
	}
	return upstreams, domains
}

// isolated reports whether this router hears neither other routers nor the store, so that it would not learn of a rollback.
func (t *Tracker) isolated(now time.Time) bool {
	return len(t.counts.peers) > 0 && now.Sub(t.heardAt) > t.settings.Rollback*isolationPart/100
}
