// Package choice picks the upstream for a piece of work.
//
// Two candidates are drawn and the one with the earlier predicted finish is taken. The prediction rests on the last load
// that the agent reported with a reply, on the work sent since then, and on the time between tokens that the agent
// measures itself, so an upstream that is slowed loses share before its own report tells. A candidate that holds the
// prompt's prefix in its cache is preferred while its predicted finish stays within a bound of the other's.
//
// # Usage
//
//	p := choice.New(rand.New(rand.NewPCG(1, 2)))
//	vm, ok := p.Pick(now, choice.Request{Candidates: vms, Tokens: 200})
//	p.Sent(now, vm, 200)
//	p.Report(now, vm, load)
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rendezvous"
)

const (
	// defaultCadence is assumed until any upstream has reported one.
	defaultCadence = 30 * time.Millisecond
	// defaultSlots is assumed of an upstream that has not reported yet.
	defaultSlots = 16
	// usualWeight is the share of a report in the running mean of all reported times between tokens, as a divisor.
	usualWeight = 32
	// reportLifetime is the age after which a report no longer counts.
	reportLifetime = 5 * time.Second
	// avoidTime is how long an upstream is passed over after a failure.
	avoidTime = 2 * time.Second
	// affinityBound is the factor on the predicted finish that a cached prefix may cost.
	affinityBound = 1.25
	// affinityCandidates is the number of upstreams among which a prefix is kept.
	affinityCandidates = 2
	// crowding is the share by which a full batch slows each of its streams in the prediction.
	crowding = 0.5
)

type upstream struct {
	load       Load
	reportedAt time.Time
	sent       uint64
	sentCount  int
	avoidUntil time.Time
}

// Picker keeps what a router knows of its upstreams' load. It is not safe for concurrent use.
type Picker struct {
	rng       *rand.Rand
	upstreams map[ids.VM]*upstream
	// usual is the running mean of the reported times between tokens.
	usual time.Duration
}

// New returns a picker with the given source of randomness.
func New(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, upstreams: make(map[ids.VM]*upstream), usual: defaultCadence}
}

func (p *Picker) upstream(vm ids.VM) *upstream {
	u, known := p.upstreams[vm]
	if !known {
		u = &upstream{}
		p.upstreams[vm] = u
	}
	return u
}

// Report takes a load report that has just arrived.
func (p *Picker) RecordLoad(now time.Time, vm ids.VM, l Load) {
	u := p.upstream(vm)
	u.load = l
	u.reportedAt = now
	u.sent = 0
	u.sentCount = 0
	if l.Cadence > 0 {
		// A single slow upstream must not make slowness usual.
		p.usual += (min(l.Cadence, 2*p.usual) - p.usual) / usualWeight
	}
}

// RecordSent notes work that was placed since the last report.
func (p *Picker) RecordSent(_ time.Time, vm ids.VM, tokens uint64) {
	u := p.upstream(vm)
	u.sent += tokens
	u.sentCount++
}

// RecordFailure passes an upstream over for a while.
func (p *Picker) RecordFailure(now time.Time, vm ids.VM) {
	p.upstream(vm).avoidUntil = now.Add(avoidTime)
}

// Forget drops an upstream.
func (p *Picker) Forget(vm ids.VM) { delete(p.upstreams, vm) }

// Pick returns the upstream for a request, or false when there is no candidate outside its Avoid list.
func (p *Picker) Pick(now time.Time, r Request) (ids.VM, bool) {
	best, found := p.pickOfTwo(now, r)
	if !found || r.Affinity == "" {
		return best, found
	}
	limit := time.Duration(float64(p.Predict(now, best, r.Tokens)) * affinityBound)
	for _, vm := range rendezvous.Top(r.Affinity, r.Candidates, affinityCandidates) {
		if p.usable(now, vm, r) && p.Predict(now, vm, r.Tokens) <= limit {
			return vm, true
		}
	}
	return best, true
}

func (p *Picker) usable(now time.Time, vm ids.VM, r Request) bool {
	u := p.upstreams[vm]
	if u != nil && now.Before(u.avoidUntil) {
		return false
	}
	return !slices.Contains(r.Avoid, vm)
}

// pickOfTwo draws two usable candidates. When the draws keep hitting unusable ones it scans all; when none is usable,
// a candidate that is only passed over after a failure is better than none.
func (p *Picker) pickOfTwo(now time.Time, r Request) (ids.VM, bool) {
	n := len(r.Candidates)
	if n == 0 {
		return "", false
	}
	first, ok := p.draw(now, r, "")
	if !ok {
		return p.lastResort(r)
	}
	second, ok := p.draw(now, r, first)
	if !ok || p.Predict(now, first, r.Tokens) <= p.Predict(now, second, r.Tokens) {
		return first, true
	}
	return second, true
}

// draw returns a usable candidate other than the given one: a random start, then the next usable one.
func (p *Picker) draw(now time.Time, r Request, other ids.VM) (ids.VM, bool) {
	n := len(r.Candidates)
	start := p.rng.IntN(n)
	for i := range n {
		vm := r.Candidates[(start+i)%n]
		if vm != other && p.usable(now, vm, r) {
			return vm, true
		}
	}
	return "", false
}

func (p *Picker) lastResort(r Request) (ids.VM, bool) {
	start := p.rng.IntN(len(r.Candidates))
	for i := range r.Candidates {
		vm := r.Candidates[(start+i)%len(r.Candidates)]
		if !slices.Contains(r.Avoid, vm) {
			return vm, true
		}
	}
	return "", false
}

// Predict returns the time in which an upstream would finish a piece of work of the given length.
func (p *Picker) Predict(now time.Time, vm ids.VM, tokens uint64) time.Duration {
	u, known := p.upstreams[vm]
	if !known {
		u = &upstream{}
	}
	l := u.load
	if now.Sub(u.reportedAt) > reportLifetime {
		l = Load{}
	}
	if l.Slots == 0 {
		l.Slots = defaultSlots
	}
	if l.Cadence == 0 {
		l.Cadence = p.usual
	}
	return predict(l, u.sent, u.sentCount, tokens)
}

func predict(l Load, sent uint64, sentCount int, tokens uint64) time.Duration {
	busy := l.Running + l.Queued + sentCount
	var wait time.Duration
	if busy >= l.Slots {
		wait = l.Cadence * time.Duration((l.QueuedTokens+sent)/uint64(l.Slots))
	}
	crowd := 1 + crowding*float64(min(busy, l.Slots))/float64(l.Slots)
	own := time.Duration(float64(l.Cadence) * float64(tokens+1) * crowd)
	return wait + own
}

// cadenceSample bounds the upstreams whose cadence is looked at.
const cadenceSample = 15

// MedianCadence returns the median of the reported times between tokens of a random sample of upstreams, or zero when none
// has reported.
func (p *Picker) MedianCadence(candidates []ids.VM) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	var seen []time.Duration
	start := p.rng.IntN(len(candidates))
	for i := range min(len(candidates), cadenceSample) {
		u, known := p.upstreams[candidates[(start+i)%len(candidates)]]
		if known && u.load.Cadence > 0 {
			seen = append(seen, u.load.Cadence)
		}
	}
	if len(seen) == 0 {
		return 0
	}
	slices.Sort(seen)
	return seen[len(seen)/2]
}
