// Package balancer balances work over upstreams.
//
// It uses the power of two choices: two candidates are drawn at random and the one with the earlier predicted finish is
// picked. The prediction uses the last load that the agent reported with a reply, the work sent since then, and the time
// between tokens that the agent itself measures, so a slowed upstream gets a smaller share before it reports slowness
// itself. A candidate that has the prompt's prefix in its KV cache is preferred while its predicted finish stays within a
// bound of the other's.
//
// # Usage
//
//	p := balancer.New(rand.New(rand.NewPCG(1, 2)))
//	vm, ok := p.Pick(now, balancer.Request{Candidates: vms, Tokens: 200})
//	p.RecordSent(now, vm, 200)
//	p.RecordLoad(now, vm, load)
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
	// defaultSlots is assumed for an upstream without a current report.
	defaultSlots = 16
	// cadenceWeightDivisor is the inverse of the weight of one report in the running mean of the reported cadences.
	cadenceWeightDivisor = 32
	// reportLifetime is the age above which a report is ignored.
	reportLifetime = 5 * time.Second
	// failureBackoff is how long an upstream is skipped after a failure.
	failureBackoff = 2 * time.Second
	// affinityBound is the factor by which the predicted finish may be later in exchange for a cached prefix.
	affinityBound = 1.25
	// affinityCandidates is the number of upstreams that are preferred for a prefix.
	affinityCandidates = 2
	// batchSlowdown is the fraction by which a full batch slows each of its streams in the prediction.
	batchSlowdown = 0.5
)

type upstream struct {
	load       Load
	reportedAt time.Time
	// sent and sentCount are the tokens and the number of the requests sent since the last report.
	sent       uint64
	sentCount  int
	avoidUntil time.Time
}

// Picker tracks the load of the upstreams as known to one router and picks among them. It is not safe for concurrent use.
type Picker struct {
	rng       *rand.Rand
	upstreams map[ids.VM]*upstream
	// meanCadence is the running mean of the reported cadences.
	meanCadence time.Duration
}

// New returns a picker that uses the given random number generator.
func New(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, upstreams: make(map[ids.VM]*upstream), meanCadence: defaultCadence}
}

func (p *Picker) upstream(vm ids.VM) *upstream {
	u, known := p.upstreams[vm]
	if !known {
		u = &upstream{}
		p.upstreams[vm] = u
	}
	return u
}

// RecordLoad records a load report that has just arrived.
func (p *Picker) RecordLoad(now time.Time, vm ids.VM, l Load) {
	u := p.upstream(vm)
	u.load = l
	u.reportedAt = now
	u.sent = 0
	u.sentCount = 0
	if l.Cadence > 0 {
		// The bound keeps a single slow upstream from raising the mean much.
		p.meanCadence += (min(l.Cadence, 2*p.meanCadence) - p.meanCadence) / cadenceWeightDivisor
	}
}

// RecordSent records work placed since the last report.
func (p *Picker) RecordSent(_ time.Time, vm ids.VM, tokens uint64) {
	u := p.upstream(vm)
	u.sent += tokens
	u.sentCount++
}

// RecordFailure records a failure of an upstream, which is then skipped for failureBackoff.
func (p *Picker) RecordFailure(now time.Time, vm ids.VM) {
	p.upstream(vm).avoidUntil = now.Add(failureBackoff)
}

// Forget deletes an upstream.
func (p *Picker) Forget(vm ids.VM) { delete(p.upstreams, vm) }

// Pick returns the upstream for a request, or false if every candidate is in r.Avoid.
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

// pickOfTwo draws two usable candidates and returns the one with the earlier predicted finish. If none is usable, it falls
// back to a candidate that is skipped only because of a recent failure.
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

// draw returns a usable candidate other than the given one: the first from a random starting point on.
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

// lastResort returns a random candidate that is not in r.Avoid.
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

// Predict returns the time in which an upstream would finish work of the given number of tokens.
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
		l.Cadence = p.meanCadence
	}
	return predict(l, u.sent, u.sentCount, tokens)
}

// predict adds the wait for a slot, if none is free, and the duration of the work itself.
func predict(l Load, sent uint64, sentCount int, tokens uint64) time.Duration {
	busy := l.Running + l.Queued + sentCount
	var wait time.Duration
	if busy >= l.Slots {
		wait = l.Cadence * time.Duration((l.QueuedTokens+sent)/uint64(l.Slots))
	}
	slowdown := 1 + batchSlowdown*float64(min(busy, l.Slots))/float64(l.Slots)
	own := time.Duration(float64(l.Cadence) * float64(tokens+1) * slowdown)
	return wait + own
}

// cadenceSampleSize bounds the number of upstreams that MedianCadence reads.
const cadenceSampleSize = 15

// MedianCadence returns the median of the reported cadences of a random sample of the candidates, or zero if none has
// reported one.
func (p *Picker) MedianCadence(candidates []ids.VM) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	var cadences []time.Duration
	start := p.rng.IntN(len(candidates))
	for i := range min(len(candidates), cadenceSampleSize) {
		u, known := p.upstreams[candidates[(start+i)%len(candidates)]]
		if known && u.load.Cadence > 0 {
			cadences = append(cadences, u.load.Cadence)
		}
	}
	if len(cadences) == 0 {
		return 0
	}
	slices.Sort(cadences)
	return cadences[len(cadences)/2]
}
