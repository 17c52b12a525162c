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
	// margin keeps clear of the limit, since the other routers' counts are some hundred milliseconds old.
	margin = 0.8
	// newsLifetime is how long another router's counts hold without renewal.
	newsLifetime = 3 * time.Second
)

// Counts are the requests and repeats of one router within the window.
type Counts struct {
	Requests int
	Retries  int
}

type window struct {
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	head     int64
}

type peerKey struct {
	router  ids.VM
	service ids.Service
}

type peerCounts struct {
	Counts
	at time.Time
}

// Budget counts requests and repeats. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	start  time.Time
	by     map[ids.Service]*window
	peers  map[peerKey]peerCounts
}

// New returns a budget without any counts.
func New(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, start: now, by: map[ids.Service]*window{}, peers: map[peerKey]peerCounts{}}
}

// SetLimits replaces the limits; what was counted stays.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// SetPeerCounts takes another router's counts for a service.
func (b *Budget) SetPeerCounts(router ids.VM, s ids.Service, c Counts, now time.Time) {
	b.peers[peerKey{router, s}] = peerCounts{Counts: c, at: now}
}

// OwnCounts returns this router's counts by service.
func (b *Budget) OwnCounts(now time.Time) map[ids.Service]Counts {
	out := make(map[ids.Service]Counts, len(b.by))
	for s := range b.by {
		if c := b.window(s, now).sum(); c != (Counts{}) {
			out[s] = c
		}
	}
	return out
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(s ids.Service, now time.Time) {
	w := b.window(s, now)
	w.requests[w.head%(buckets+1)]++
}

// AllowRetry counts a repeat, or returns false when the limit is used up. Routers is the number of routers that share it. What the
// others have done since their last word is taken to be what this one has done in the present bucket.
func (b *Budget) AllowRetry(s ids.Service, now time.Time, routers int) bool {
	w := b.window(s, now)
	total := w.sum()
	unheard := routers - 1
	for key, c := range b.peers {
		if key.service != s {
			continue
		}
		if now.Sub(c.at) > newsLifetime {
			delete(b.peers, key)
			continue
		}
		total.Requests += c.Requests
		total.Retries += c.Retries
		unheard--
	}
	recent := w.repeats[w.head%(buckets+1)]
	allowed := margin*(b.limits.Ratio*float64(total.Requests)+b.limits.Slack) - float64(recent*(routers-1)/peersBetweenNews)
	if unheard > 0 {
		// Routers that are not heard may use their share of the slack.
		allowed -= margin * b.limits.Slack * float64(unheard) / float64(routers)
	}
	if float64(total.Retries+1) > allowed {
		return false
	}
	w.repeats[w.head%(buckets+1)]++
	return true
}

// peersBetweenNews is the part of the routers that meets the same trouble between two words of theirs: one in this many.
const peersBetweenNews = 8

func (w *window) sum() Counts {
	var c Counts
	for i := range w.requests {
		c.Requests += w.requests[i]
		c.Retries += w.repeats[i]
	}
	return c
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
