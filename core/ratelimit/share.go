package ratelimit

import (
	"cmp"
	"math"
	"slices"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rendezvous"
)

const (
	// minSharers is the number of routers that share a limit of any size. Beyond it, there are at most as many as the limit has requests a
	// second, because each one may save up a request and send it at any time.
	minSharers = 3
	// moreSharers is by how much that number is exceeded while the demand of the chosen routers is less than demandFactor times the limit.
	moreSharers  = 1.5
	demandFactor = 2
)

// share returns the part of an upstream's limit that the first router of the list may use.
func share(upstream ids.VM, limit Rate, list []sharer) float64 {
	self := list[0]
	chosen := choose(upstream, limit, list)
	sum := Rate(0)
	found := false
	for _, s := range chosen {
		sum += s.demand
		found = found || s.router == self.router
	}
	if !found {
		return 0
	}
	return float64(self.demand / sum)
}

// choose returns the routers that share a limit: all, or if they are many, those that weighted rendezvous hashing selects. All routers
// select about the same ones, those with more demand more often.
func choose(upstream ids.VM, limit Rate, list []sharer) []sharer {
	most := max(minSharers, int(min(limit, Rate(len(list)))))
	if len(list) <= most {
		return list
	}
	type ranked struct {
		sharer
		rank float64
	}
	order := make([]ranked, 0, len(list))
	for _, s := range list {
		uniform := (float64(rendezvous.Score(string(upstream), s.router)>>11) + 0.5) / (1 << 53)
		order = append(order, ranked{s, -math.Log(uniform) / powerOfTwo(s.demand)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.router, b.router))
	})
	out := make([]sharer, 0, most)
	sum := Rate(0)
	for _, r := range order[:min(len(order), int(moreSharers*float64(most)))] {
		if len(out) >= most && sum >= demandFactor*limit {
			break
		}
		out = append(out, r.sharer)
		sum += r.demand
	}
	return out
}

// powerOfTwo rounds a demand, so that small changes of it do not change the selection.
func powerOfTwo(demand Rate) float64 { return math.Exp2(math.Round(math.Log2(float64(demand)))) }
