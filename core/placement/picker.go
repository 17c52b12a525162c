package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

const (
	// runningCost is the cost of each running generation: it lengthens the decoding step of all others, and the loss of the
	// engine hits more callers.
	runningCost = 25 * time.Millisecond
	// neighbourWeight is the part of a prompt's own prefill time that is added to the cost for each running generation: the
	// engine decodes slowly while it reads the prompt. A delay in the middle of another stream counts less than one of the own
	// first event.
	neighbourWeight = 0.4
	// remoteCost favours the router's own failure domain: a packet lost between domains delays a stream's events by 200 ms.
	// Queueing behind another prompt costs more than a second, which outweighs it.
	remoteCost = 100 * time.Millisecond
	// maxRouterBias bounds the bias that differs by router, which keeps routers with the same state from picking the same
	// engine at once.
	maxRouterBias = 40 * time.Millisecond
	// sampleFactor and sampleMin give the size of the random sample of engines that Pick considers: sampleFactor times the
	// router's share of all engines, but at least sampleMin. The more routers there are, the older is their state of each
	// other, so without sampling all would pick the same best engine at once.
	sampleFactor = 4
	sampleMin    = 8
	// fullCost ranks engines without a free slot or KV cache capacity behind all others, and those whose window is full. These may
	// not cost more: in the model, upstreams that came back were left idle at the peak then, while the others refused.
	fullCost = 10 * time.Second
	// suspectCost ranks suspected engines, such as those of a suspected failure domain, behind others.
	suspectCost = 3 * time.Second
)

// Candidate is an engine that may be picked.
type Candidate struct {
	ID     ids.VM
	Domain ids.FailureDomain
	// Suspect is set if the engine or its failure domain is suspected to be lost.
	Suspect bool
	// WindowFull is set if the engine has just started or recovered and has as many requests as it should get for now.
	WindowFull bool
}

// Picker picks engines for one router. It is not safe for concurrent use.
type Picker struct {
	Router ids.VM
	Domain ids.FailureDomain
	// Routers is the number of routers that share the upstreams, including this one.
	Routers int
	*LoadTracker
}

// Pick returns the candidate with the lowest cost and the predicted time to its first event, or false if the list is empty.
// An engine that has the prompt in its KV cache does not process it again.
func (p Picker) Pick(list []Candidate, req Request, m EngineModel, now time.Time) (Candidate, time.Duration, bool) {
	if len(list) == 0 {
		return Candidate{}, 0, false
	}
	list = req.sample(list, max(sampleMin, sampleFactor*len(list)/max(1, p.Routers)))
	best := list[0]
	expected := p.cost(best, req, m, now)
	for _, c := range list[1:] {
		if e := p.cost(c, req, m, now); e.cost < expected.cost {
			best, expected = c, e
		}
	}
	return best, expected.firstEvent, true
}

// sample draws the engines that Pick considers. The engine that has the prompt in its KV cache comes first, suspected ones
// last.
func (r Request) sample(list []Candidate, size int) []Candidate {
	if len(list) <= size {
		return list
	}
	type ranked struct {
		Candidate
		rank float64
	}
	drawn := make([]ranked, len(list))
	for i, c := range list {
		rank := r.random(c.ID)
		switch {
		case c.ID == r.CachedAt:
			rank = 0
		case c.Suspect:
			rank++
		}
		drawn[i] = ranked{c, rank}
	}
	slices.SortFunc(drawn, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]Candidate, size)
	for i := range out {
		out[i] = drawn[i].Candidate
	}
	return out
}

// estimate is the predicted time to the first event of a placement, and its cost, which adds penalties to that time.
type estimate struct {
	cost       time.Duration
	firstEvent time.Duration
}

func (p Picker) cost(c Candidate, req Request, m EngineModel, now time.Time) estimate {
	w := p.WorkAt(c.ID, now)
	prompt := req.Prompt
	if c.ID == req.CachedAt {
		prompt = 0
	}
	first := m.TimeToFirstEvent(w, prompt, p.Slowness(c.ID, now))
	neighbour := runningCost + time.Duration(neighbourWeight*float64(m.PrefillTime(prompt)))
	cost := first + time.Duration(w.Running)*neighbour + p.bias(c)
	if c.WindowFull || !m.Fits(w, req.Tokens()) {
		cost += fullCost
	}
	return estimate{cost: cost, firstEvent: first}
}

// PickCopy returns the engine that keeps the copy of a generation's KV cache: one with capacity in another failure domain,
// and a suspected one only if there is no other. The choice is random, weighted towards free capacity: when a failure
// domain is lost, all routers place new copies at the same moment, and the emptiest engines could not hold all of them.
func (p Picker) PickCopy(list []Candidate, primary Candidate, req Request, m EngineModel, now time.Time) (Candidate, bool) {
	var best Candidate
	bestScore := 0.0
	found := false
	for _, c := range list {
		if c.Domain == primary.Domain {
			continue
		}
		w := p.WorkAt(c.ID, now)
		if !m.Fits(w, req.Tokens()) {
			continue
		}
		free := float64(m.MemoryTokens - w.Memory)
		score := -math.Log(req.random(c.ID)) / (free * free)
		if better := score < bestScore; !found || c.Suspect == best.Suspect && better || !c.Suspect && best.Suspect {
			best, bestScore, found = c, score, true
		}
	}
	return best, found
}

// bias returns the penalties that do not depend on the load of a candidate.
func (p Picker) bias(c Candidate) time.Duration {
	cost := time.Duration(xxhash.Sum64String(string(p.Router)+"/"+string(c.ID)) % uint64(maxRouterBias))
	if c.Domain != p.Domain {
		cost += remoteCost
	}
	if c.Suspect {
		cost += suspectCost
	}
	return cost
}
