package rollout

import "bilberrylug.dev/core/ids"

// tally sums up answers on all routes.
type tally struct{ answers, bad float64 }

// source is where answers come from. The upstream is empty for those counted together by failure domain.
type source struct {
	upstream ids.VM
	domain   ids.FailureDomain
}

// groups holds the answers of one class by where they came from.
type groups struct {
	total   tally
	sources map[source]tally
	domains map[ids.FailureDomain]tally
}

func (t *Tracker) groupsOf(class Class) groups {
	g := groups{sources: map[source]tally{}, domains: map[ids.FailureDomain]tally{}}
	for k, c := range t.counts.sums {
		if k.class != class {
			continue
		}
		n := tally{float64(c.Answers), float64(c.Bad)}
		s := source{k.upstream, k.domain}
		g.total = g.total.plus(n)
		g.sources[s] = g.sources[s].plus(n)
		g.domains[k.domain] = g.domains[k.domain].plus(n)
	}
	return g
}

func (a tally) plus(b tally) tally  { return tally{a.answers + b.answers, a.bad + b.bad} }
func (a tally) minus(b tally) tally { return tally{a.answers - b.answers, a.bad - b.bad} }

// kept returns the part of the bad answers of each source that counts, for the old versions and for the new one.
func (t *Tracker) kept() (oldKept, newKept map[source]float64) {
	old := t.groupsOf(ClassOld)
	oldKept = t.discount(old, ClassOld, func(ids.FailureDomain) float64 { return 0 })
	counted := 0.0
	for s, part := range oldKept {
		counted += part * old.sources[s].bad
	}
	usual := counted / max(1, old.total.answers)
	newKept = t.discount(t.groupsOf(ClassNew), ClassNew, func(d ids.FailureDomain) float64 {
		n := old.domains[d]
		return max(0, n.bad/(n.answers+1)-usual)
	})
	return oldKept, newKept
}

// discount returns the part of the bad answers of each source that counts. Those of one upstream count up to twice the rate that the
// version's other upstreams show, and so do those of one failure domain. excess is the rate of bad answers that the old versions show in a
// failure domain beyond their usual one, which is left out as well.
//
// The limits compare shares of the answers, on all routes and over the whole order, so that a version that turns bad late is not covered by
// what it answered before.
func (t *Tracker) discount(g groups, class Class, excess func(ids.FailureDomain) float64) map[source]float64 {
	upstreams, domains := t.presentOf(class)
	byDomain := map[ids.FailureDomain]float64{}
	out := map[source]float64{}
	bad := 0.0
	for s, n := range g.sources {
		counted := n.bad
		if s.upstream != "" {
			counted = limited(n.bad, n.answers, g.total.minus(n), upstreams > 1)
		}
		out[s] = counted / max(1, n.bad)
		byDomain[s.domain] += counted
		bad += counted
	}
	for d, b := range byDomain {
		n := g.domains[d]
		others := tally{g.total.answers - n.answers, bad - b}
		counted := limited(b, n.answers, others, domains > 1)
		counted = max(0, counted-n.answers*excess(d))
		for s := range g.sources {
			if s.domain == d && b > 0 {
				out[s] *= counted / b
			}
		}
	}
	return out
}

// limited returns how many of a group's bad answers count, given the answers of the others.
func limited(bad, answers float64, others tally, present bool) float64 {
	n := others.answers
	if present {
		n += silentOthers
	}
	if n == 0 {
		return bad
	}
	return min(bad, answers*min(1, (excessFactor*others.bad+excessAllowance)/n))
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
