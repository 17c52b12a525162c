package placement

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// EngineLoad is what a LoadTracker knows about an engine.
type EngineLoad struct {
	// Own is the work that this router has placed, Others the sum of what other routers have reported.
	Own    Work
	Others Work
	// Reports is the number of other routers whose reports are in use, whether or not they have work at the engine, and
	// OldestReport the age of the oldest of these reports.
	Reports      int
	OldestReport time.Duration
	// Slowness is the factor that predictions use.
	Slowness float64
}

// Inspect returns what is known about an engine. It changes nothing but the expiry of old reports.
func (t *LoadTracker) Inspect(id ids.VM, now time.Time) EngineLoad {
	l := EngineLoad{Slowness: t.Slowness(id, now), Own: t.own[id], Others: t.peerSum[id], Reports: len(t.peers)}
	for _, peer := range t.peers {
		l.OldestReport = max(l.OldestReport, now.Sub(peer.at))
	}
	return l
}

// Estimate is the predicted result of the placement of a request on a candidate.
type Estimate struct {
	Candidate
	// Cost ranks the candidates. It is the predicted time to the first event with penalties.
	Cost       time.Duration
	FirstEvent time.Duration
	// Fits is set if the engine has a free slot and enough KV cache.
	Fits bool
	// Chance is the probability that Pick returns the candidate for a random seed.
	Chance float64
}

// Estimates returns the estimates of all candidates for a request, ordered by cost. It does not use the seed of the request
// and changes nothing but the expiry of old reports.
func (p Picker) Estimates(list []Candidate, req Request, m EngineModel, now time.Time) []Estimate {
	out := make([]Estimate, 0, len(list))
	for _, c := range list {
		e := p.cost(c, req, m, now)
		out = append(out, Estimate{Candidate: c, Cost: e.cost, FirstEvent: e.firstEvent, Fits: m.Fits(p.WorkAt(c.ID, now), req.Tokens())})
	}
	slices.SortStableFunc(out, func(a, b Estimate) int { return cmp.Compare(a.Cost, b.Cost) })
	setChances(out, req.CachedAt, p.sampleSize(len(list)))
	return out
}

// setChances computes the chances of candidates that are ordered by cost. Pick returns the cheapest candidate of its sample.
// If d of m candidates are drawn, the cheapest of them is drawn with probability d/m, the next one but not the cheapest with
// (1-d/m)*d/(m-1), and so on. The first candidate that is in every sample gets what is left.
func setChances(list []Estimate, cachedAt ids.VM, size int) {
	s := sampling(list, cachedAt, size)
	left := 1.0
	for i, e := range list {
		if s.certain(e) {
			list[i].Chance = left
			return
		}
		if e.Suspect != s.drawSuspects || s.drawn == 0 {
			continue
		}
		p := float64(s.drawn) / float64(s.from)
		list[i].Chance = left * p
		left *= 1 - p
		s.from--
	}
}

// sampleRule describes the samples of Pick: which candidates are in each of them, and how many are drawn from the others.
type sampleRule struct {
	all          bool
	cachedAt     ids.VM
	drawSuspects bool
	drawn, from  int
}

func sampling(list []Estimate, cachedAt ids.VM, size int) sampleRule {
	r := sampleRule{all: len(list) <= size, cachedAt: cachedAt}
	sound, suspects := 0, 0
	for _, e := range list {
		switch {
		case e.ID == cachedAt:
			size--
		case e.Suspect:
			suspects++
		default:
			sound++
		}
	}
	r.drawSuspects = sound <= size
	r.drawn, r.from = size, sound
	if r.drawSuspects {
		r.drawn, r.from = size-sound, suspects
	}
	return r
}

// certain reports whether a candidate is in every sample.
func (r sampleRule) certain(e Estimate) bool {
	return r.all || e.ID == r.cachedAt || r.drawSuspects && !e.Suspect
}

// CallLoad is what a CallPicker knows about an upstream.
type CallLoad struct {
	// Own is the number of this router's calls in flight, Others the sum of what Reports other routers have reported lately.
	Own     int
	Others  int
	Reports int
	// OldestReport is the age of the oldest of these reports.
	OldestReport time.Duration
	// Busy and Slowness are what the upstream reported about itself ReportAge ago, if Reported is set.
	Reported  bool
	Busy      int
	Slowness  float64
	ReportAge time.Duration
	// Ejected is set if the upstream is avoided because calls failed there, EjectedHere if this router has seen them.
	Ejected     bool
	EjectedHere bool
}

// Inspect returns what is known about an upstream. It changes nothing.
func (c *CallPicker) Inspect(id ids.VM, now time.Time) CallLoad {
	l := CallLoad{Own: c.own[id], Ejected: c.ejected(id, now), EjectedHere: c.isEjected(id, now)}
	for _, peer := range c.peers {
		if age := now.Sub(peer.at); age < reportLifetime {
			l.Others += peer.calls[id]
			l.Reports++
			l.OldestReport = max(l.OldestReport, age)
		}
	}
	if r, known := c.reports[id]; known && now.Sub(r.at) < reportLifetime {
		l.Reported, l.Busy, l.Slowness, l.ReportAge = true, r.busy, r.slowness, now.Sub(r.at)
	}
	return l
}

// CallEstimate is the cost of a call at a candidate.
type CallEstimate struct {
	Candidate
	// Cost is given in calls in flight.
	Cost float64
}

// Estimates returns the costs of a call at all candidates, ordered by cost. Pick returns the first one. It changes nothing.
func (c *CallPicker) Estimates(list []Candidate, slots map[ids.VM]int, now time.Time) []CallEstimate {
	out := make([]CallEstimate, 0, len(list))
	for _, u := range list {
		out = append(out, CallEstimate{u, c.cost(u, max(1, slots[u.ID]), now)})
	}
	slices.SortStableFunc(out, func(a, b CallEstimate) int { return cmp.Compare(a.Cost, b.Cost) })
	return out
}

// LimiterState is the state of a Limiter.
type LimiterState struct {
	Limit        float64
	Running      int
	Waiting      int
	MeanCallTime time.Duration
}

// State returns the state of the limiter.
func (l *Limiter) State() LimiterState {
	return LimiterState{Limit: l.limit, Running: l.running, Waiting: l.waiting.Len(), MeanCallTime: l.meanCallTime}
}
