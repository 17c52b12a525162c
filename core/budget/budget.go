// Package budget implements a retry budget. It limits the retries of all routers relative to their requests, so that
// retries never crowd out first attempts.
//
// # Usage
//
//	b := budget.New(budget.Limits{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}, now)
//	b.RecordRequest(service, now)
//	if b.AllowRetry(service, now, routers) { ... retry ... }
package budget

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Limits apply to one service, summed over all routers.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

const (
	// windowBuckets is the number of buckets in a window. A retry counts until its whole bucket has left the window.
	windowBuckets = 10
	// limitMargin reduces the limit, since the counts of other routers are some hundred milliseconds old.
	limitMargin = 0.8
	// peerCountsLifetime is how long the counts of another router are used after it reported them, if PeerTTL is not longer.
	peerCountsLifetime = 3 * time.Second
)

// Counts are the requests and retries of one router within the window.
type Counts struct {
	Requests int
	Retries  int
}

// window counts the requests and retries of one service in a ring of buckets.
type window struct {
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
	// head is the number of the current bucket, counted from the start of the budget.
	head int64
}

type peerKey struct {
	router  ids.VM
	service ids.Service
}

type peerCounts struct {
	Counts
	at time.Time
}

// Budget is the retry budget of all services, as seen by one router. It is not safe for concurrent use.
type Budget struct {
	// PeerTTL is how long the counts of another router are used. In a large fleet the reports are rare.
	PeerTTL time.Duration
	limits  Limits
	start   time.Time
	windows map[ids.Service]*window
	peers   map[peerKey]peerCounts
}

// New returns a budget with zero counts.
func New(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, start: now, windows: map[ids.Service]*window{}, peers: map[peerKey]peerCounts{}}
}

// SetLimits replaces the limits and keeps the counts.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Bucket returns the resolution in time at which requests and retries are counted.
func (b *Budget) Bucket() time.Duration { return b.limits.Window / windowBuckets }

// SetPeerCounts records the counts that another router reported for a service.
func (b *Budget) SetPeerCounts(router ids.VM, s ids.Service, c Counts, now time.Time) {
	b.peers[peerKey{router, s}] = peerCounts{Counts: c, at: now}
}

// OwnCounts returns the counts of this router by service.
func (b *Budget) OwnCounts(now time.Time) map[ids.Service]Counts {
	out := make(map[ids.Service]Counts, len(b.windows))
	for s := range b.windows {
		if c := b.window(s, now).sum(); c != (Counts{}) {
			out[s] = c
		}
	}
	return out
}

// RecordRequest records a caller's request.
func (b *Budget) RecordRequest(s ids.Service, now time.Time) {
	w := b.window(s, now)
	w.requests[w.head%(windowBuckets+1)]++
}

// AllowRetry reports whether a retry is within the limit, and records it if so. The parameter routers is the number of
// routers that share the limit, including this one. The retries of other routers since their last report are estimated from
// those of this router in the current bucket.
func (b *Budget) AllowRetry(s ids.Service, now time.Time, routers int) bool {
	w := b.window(s, now)
	total := w.sum()
	unreported := routers - 1
	for key, c := range b.peers {
		if key.service != s {
			continue
		}
		if now.Sub(c.at) > max(peerCountsLifetime, b.PeerTTL) {
			delete(b.peers, key)
			continue
		}
		total.Requests += c.Requests
		total.Retries += c.Retries
		unreported--
	}
	recent := w.retries[w.head%(windowBuckets+1)]
	allowed := limitMargin*(b.limits.Ratio*float64(total.Requests)+b.limits.Slack) - float64(recent*(routers-1)/affectedPeerDivisor)
	if unreported > 0 {
		// Routers without a recent report may use their share of the slack.
		allowed -= limitMargin * b.limits.Slack * float64(unreported) / float64(routers)
	}
	if float64(total.Retries+1) > allowed {
		return false
	}
	w.retries[w.head%(windowBuckets+1)]++
	return true
}

// affectedPeerDivisor is used to estimate the unreported retries: one in this many other routers is assumed to see the same
// failures between two of its reports.
const affectedPeerDivisor = 8

func (w *window) sum() Counts {
	var c Counts
	for i := range w.requests {
		c.Requests += w.requests[i]
		c.Retries += w.retries[i]
	}
	return c
}

// window returns the window of a service, with the buckets that have left it cleared.
func (b *Budget) window(s ids.Service, now time.Time) *window {
	w, known := b.windows[s]
	if !known {
		w = &window{}
		b.windows[s] = w
	}
	head := int64(now.Sub(b.start) / b.Bucket())
	for steps := 0; w.head < head && steps <= windowBuckets; steps++ {
		w.head++
		w.requests[w.head%(windowBuckets+1)] = 0
		w.retries[w.head%(windowBuckets+1)] = 0
	}
	w.head = max(w.head, head)
	return w
}
