package generation

import (
	"time"

	"bilberrylug.dev/core/placement"
)

// Policy names a way to place generations on engines.
type Policy string

// The policies. Production is the routers' own picker. OwnTime is the picker as it was before it counted what a prompt costs
// the generations that run at its engine. LeastRunning and Random are baselines.
const (
	Production   Policy = "production"
	OwnTime      Policy = "own time only"
	LeastRunning Policy = "least running"
	Random       Policy = "random"
)

// Policies returns all policies, the production code first.
func Policies() []Policy { return []Policy{Production, OwnTime, LeastRunning, Random} }

// ownTimeRunningCost and ownTimeRemoteCost are the constants of the policy OwnTime.
const (
	ownTimeRunningCost = 25 * time.Millisecond
	ownTimeRemoteCost  = 100 * time.Millisecond
)

// pick chooses the engine of a prompt.
func (r *router) pick(list []placement.Candidate, req placement.Request) (placement.Candidate, bool) {
	if len(list) == 0 {
		return placement.Candidate{}, false
	}
	now := r.Now()
	switch r.policy {
	case Random:
		return list[r.rng.IntN(len(list))], true
	case LeastRunning:
		return r.cheapest(list, func(c placement.Candidate) time.Duration {
			return time.Duration(r.picker.WorkAt(c.ID, now).Running)
		}), true
	case OwnTime:
		return r.cheapest(list, func(c placement.Candidate) time.Duration {
			w := r.picker.WorkAt(c.ID, now)
			cost := r.model.TimeToFirstEvent(w, req.Prompt, r.picker.Slowness(c.ID, now)) + time.Duration(w.Running)*ownTimeRunningCost
			if c.Domain != r.picker.Domain {
				cost += ownTimeRemoteCost
			}
			if !r.model.Fits(w, req.Tokens()) {
				cost += time.Minute
			}
			return cost
		}), true
	case Production, Windows, TimedStart:
		r.holdBack(list)
	}
	c, predicted, ok := r.picker.Pick(list, req, r.model, now)
	r.predicted = predicted
	return c, ok
}

// cheapest returns the candidate of a random sample that has the lowest cost.
func (r *router) cheapest(list []placement.Candidate, cost func(c placement.Candidate) time.Duration) placement.Candidate {
	size := min(len(list), max(8, 4*len(list)/r.scenario.Routers))
	var best placement.Candidate
	var bestCost time.Duration
	for i, at := range r.rng.Perm(len(list))[:size] {
		if c := cost(list[at]); i == 0 || c < bestCost {
			best, bestCost = list[at], c
		}
	}
	return best
}
