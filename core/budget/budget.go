// Package budget bounds how often a router sends requests again, so that repeats never crowd out first attempts.
//
// # Usage
//
//	b := budget.New(budget.Limits{Ratio: 0.8, Slack: 150, Window: 10*time.Second})
//	b.Request(service, now)
//	if b.Take(service, now, routers) { ... send again ... }
package budget

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Limits hold for one service over all routers.
type Limits struct {
	// Ratio is the allowed number of repeats for each request.
	Ratio float64
	// Slack is the number of repeats in a window that is allowed besides.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

const (
	// buckets divide the window; a repeat counts until its whole bucket has left the window.
	buckets = 10
	// margin keeps clear of the limit, since other routers' shares are known only roughly.
	margin = 0.7
)

type window struct {
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	head     int64
}

// Budget counts requests and repeats. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	start  time.Time
	by     map[ids.Service]*window
}

// New returns a budget without any counts.
func New(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, start: now, by: map[ids.Service]*window{}}
}

// SetLimits replaces the limits; what was counted stays.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Request counts a caller's request.
func (b *Budget) Request(s ids.Service, now time.Time) {
	w := b.window(s, now)
	w.requests[w.head%(buckets+1)]++
}

// Take counts a repeat, or returns false when the router's share of the limit is used up. Routers is the number of routers
// that share the slack.
func (b *Budget) Take(s ids.Service, now time.Time, routers int) bool {
	w := b.window(s, now)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := margin * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(max(1, routers)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.head%(buckets+1)]++
	return true
}

func (b *Budget) window(s ids.Service, now time.Time) *window {
	w, known := b.by[s]
	if !known {
		w = &window{}
		b.by[s] = w
	}
	head := int64(now.Sub(b.start) / (b.limits.Window / buckets))
	for steps := 0; w.head < head && steps <= buckets; steps++ {
		w.head++
		w.requests[w.head%(buckets+1)] = 0
		w.repeats[w.head%(buckets+1)] = 0
	}
	w.head = max(w.head, head)
	return w
}
