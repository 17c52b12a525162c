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
	// runningCost is what one more running generation costs: its step grows for all, and a loss hits more callers.
	runningCost = 25 * time.Millisecond
	// remoteCost prefers the own failure domain: a packet that is lost between domains holds up a stream's events for 200 ms, and
	// another prompt before one's own costs more than a second.
	remoteCost = 100 * time.Millisecond
	// spread keeps routers with equal knowledge from choosing the same engine at once.
	spread = 40 * time.Millisecond
	// sampleShares and sampleMin give the number of engines among which a generation's is chosen, in a router's shares of all. The
	// more routers there are, the older their news of each other, and they would all choose the best of all at once.
	sampleShares = 4
	sampleMin    = 8
	// crowdedCost puts engines without room behind all others.
	crowdedCost = 10 * time.Second
	// suspectCost puts engines of a failure domain that is being lost behind others.
	suspectCost = 3 * time.Second
)

// Candidate is an engine that may be chosen.
type Candidate struct {
	ID      ids.VM
	Domain  ids.FailureDomain
	Suspect bool
}

// Picker chooses engines for one router.
type Picker struct {
	Router ids.VM
	Domain ids.FailureDomain
	// Routers is the number of routers that share the upstreams, this one included.
	Routers int
	*LoadTracker
}

// Pick returns the candidate at which the first event is expected earliest, and when. The home of the prompt need not read
// it again.
func (p Picker) Pick(list []Candidate, n Request, m EngineModel, now time.Time) (Candidate, time.Duration, bool) {
	if len(list) == 0 {
		return Candidate{}, 0, false
	}
	list = n.sample(list, max(sampleMin, sampleShares*len(list)/max(1, p.Routers)))
	best := list[0]
	expected := p.cost(best, n, m, now)
	for _, c := range list[1:] {
		if e := p.cost(c, n, m, now); e.cost < expected.cost {
			best, expected = c, e
		}
	}
	return best, expected.first, true
}

// sample draws the engines among which a generation's is chosen, its home included and those that seem to be lost last.
func (n Request) sample(list []Candidate, size int) []Candidate {
	if len(list) <= size {
		return list
	}
	key := func(c Candidate) float64 {
		switch {
		case c.ID == n.CachedAt:
			return 0
		case c.Suspect:
			return 1 + n.draw(c.ID)
		default:
			return n.draw(c.ID)
		}
	}
	drawn := slices.Clone(list)
	slices.SortFunc(drawn, func(a, b Candidate) int { return cmp.Compare(key(a), key(b)) })
	return drawn[:size]
}

// placed is what placing a generation at a candidate is expected to bring.
type placed struct {
	cost  time.Duration
	first time.Duration
}

func (p Picker) cost(c Candidate, n Request, m EngineModel, now time.Time) placed {
	w := p.WorkAt(c.ID, now)
	prompt := n.Prompt
	if c.ID == n.CachedAt {
		prompt = 0
	}
	first := m.TimeToFirstEvent(w, prompt, p.Slowness(c.ID, now))
	cost := first + time.Duration(w.Running)*runningCost + p.bias(c)
	if !m.Fits(w, n.Tokens()) {
		cost += crowdedCost
	}
	return placed{cost: cost, first: first}
}

// PickCopy returns the engine that keeps the copy of a generation's memory: one of another failure domain with room, and
// one that seems to be lost only when there is no other. It draws one, the emptier the likelier: when a failure domain is lost,
// all routers look for new copies at the same moment, and the emptiest engines could not hold those of all.
func (p Picker) PickCopy(list []Candidate, at Candidate, n Request, m EngineModel, now time.Time) (Candidate, bool) {
	var best Candidate
	bestScore := 0.0
	found := false
	for _, c := range list {
		if c.Domain == at.Domain {
			continue
		}
		w := p.WorkAt(c.ID, now)
		if !m.Fits(w, n.Tokens()) {
			continue
		}
		free := float64(m.MemoryTokens - w.Memory)
		score := -math.Log(n.draw(c.ID)) / (free * free)
		if better := score < bestScore; !found || c.Suspect == best.Suspect && better || !c.Suspect && best.Suspect {
			best, bestScore, found = c, score, true
		}
	}
	return best, found
}

func (p Picker) bias(c Candidate) time.Duration {
	cost := time.Duration(xxhash.Sum64String(string(p.Router)+"/"+string(c.ID)) % uint64(spread))
	if c.Domain != p.Domain {
		cost += remoteCost
	}
	if c.Suspect {
		cost += suspectCost
	}
	return cost
}
