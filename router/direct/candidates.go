package direct

import (
	"math/rand/v2"
	"time"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

// maxCandidates bounds the upstreams that are considered for one attempt. More of them would cost processor time in
// proportion and make the choice hardly better.
const maxCandidates = 192

// candidateList holds the upstreams that are considered for one attempt.
type candidateList struct {
	candidates []placement.Candidate
	upstreams  []*fleet.Upstream
	// delay is how long a request has to wait until an upstream takes it. If it is not zero, there is one candidate, which takes it then.
	delay time.Duration
}

// get returns the upstream of a candidate.
func (l candidateList) get(id ids.VM) fleet.Upstream {
	for _, u := range l.upstreams {
		if u.ID == id {
			return *u
		}
	}
	return fleet.Upstream{}
}

// candidates returns usable upstreams of the request's service: all of them or, if they are many, a random part that includes
// the preferred one. Those already tried are included only if there are no others. If none takes a request now, it returns the one that
// does so first. During a rollout, upstreams of other versions than the preferred ones are used if there is no other. The caller must hold
// x.state.mu.
func (x *exchange) candidates(tried map[ids.VM]bool, preferred ids.VM, now time.Time) candidateList {
	preferredVersions, fallback := x.tiers(now)
	tiers := [][]*fleet.Upstream{drawUpstreams(preferredVersions, preferred), drawUpstreams(fallback, preferred)}
	return listCandidates(tiers, tried, weighing{
		delay:   func(u *fleet.Upstream) time.Duration { return x.rateLimits.Delay(u.ID, now) },
		suspect: func(u *fleet.Upstream) bool { return x.suspects(*u, now) },
	})
}

// weighing tells how long an upstream does not take a request yet, and whether it is to be avoided.
type weighing struct {
	delay   func(u *fleet.Upstream) time.Duration
	suspect func(u *fleet.Upstream) bool
}

// listCandidates returns the candidates of the first tier that has any.
func listCandidates(tiers [][]*fleet.Upstream, tried map[ids.VM]bool, w weighing) candidateList {
	list := candidateList{candidates: make([]placement.Candidate, 0, min(len(tiers[0]), maxCandidates))}
	add := func(u *fleet.Upstream) {
		list.candidates = append(list.candidates, placement.Candidate{ID: u.ID, Domain: u.Domain, Suspect: w.suspect(u)})
		list.upstreams = append(list.upstreams, u)
	}
	var retried []*fleet.Upstream
	var first *fleet.Upstream
	for _, all := range tiers {
		if len(list.candidates) > 0 {
			break
		}
		for _, u := range all {
			delay := w.delay(u)
			switch {
			case delay > 0 && (first == nil || delay < list.delay):
				first, list.delay = u, delay
			case delay > 0:
			case tried[u.ID]:
				retried = append(retried, u)
			default:
				add(u)
			}
		}
	}
	if len(list.candidates) == 0 {
		for _, u := range retried {
			add(u)
		}
	}
	if len(list.candidates) > 0 {
		list.delay = 0
	} else if first != nil {
		add(first)
	}
	return list
}

// suspects reports whether an upstream is to be avoided. One of a plain service that is suspected with its failure domain is asked whether
// it is alive: the service may have few others, and while it gets no calls it gives no sign of life. The caller must hold x.state.mu.
func (x *exchange) suspects(u fleet.Upstream, now time.Time) bool {
	suspect, ask := x.suspicion(u, now)
	if ask && x.fleet.ClaimCheck(u.ID, now) {
		x.confirm(u)
	}
	return suspect
}

// suspicion reports whether an upstream is to be avoided, and whether it should be asked if it is alive. It changes nothing. The caller
// must hold x.state.mu.
func (x *exchange) suspicion(u fleet.Upstream, now time.Time) (suspect, ask bool) {
	if !x.fleet.IsSuspected(u, now) {
		return false, false
	}
	if x.service.Engine != nil || !x.fleet.SuspectedByDomain(u, now) {
		return true, false
	}
	outlived := x.fleet.Outlived(u)
	return !outlived, !outlived
}

// drawUpstreams returns all upstreams, or maxCandidates of them if they are more, in their order. The drawn ones follow each
// other at an even distance from a random start, and the preferred one is always among them.
func drawUpstreams(all []*fleet.Upstream, preferred ids.VM) []*fleet.Upstream {
	if len(all) <= maxCandidates {
		return all
	}
	out := make([]*fleet.Upstream, 0, maxCandidates+1)
	step := float64(len(all)) / maxCandidates
	start := rand.Float64() * step
	found := preferred == ""
	for i := range maxCandidates {
		u := all[int(start+float64(i)*step)]
		found = found || u.ID == preferred
		out = append(out, u)
	}
	if found {
		return out
	}
	for _, u := range all {
		if u.ID == preferred {
			return append(out, u)
		}
	}
	return out
}
