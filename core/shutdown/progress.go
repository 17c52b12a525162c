// Package shutdown decides which requests a router still accepts during a planned stop, and after which time callers retry
// those that it rejects.
//
// A stopping router has a bounded time to finish accepted requests. A generation that cannot finish within that time is
// better started at another router at once. If no other router is serving, as when all routers restart in turn, the
// generation is accepted nevertheless.
//
// # Usage
//
//	p := shutdown.Progress{Elapsed: elapsed, Remaining: left}
//	if !p.Accepts(shutdown.Request{Long: true, Expected: 6*time.Second, Limit: 25*time.Second}, fleet.AnyServing(now)) {
//		retryAfter := fleet.RetryAfter(left, now)
//	}
package shutdown

import "time"

// DetectionTime is the time within which the load balancer detects a planned stop: it checks once a second and acts on
// the second failed check.
const DetectionTime = 3 * time.Second

// Progress describes how far a planned stop has progressed.
type Progress struct {
	// Elapsed is the time since the stop began, Remaining the time that remains.
	Elapsed   time.Duration
	Remaining time.Duration
}

// Request describes a request that arrives at a stopping router.
type Request struct {
	// Long requests may continue at another router when their router ends; they have no short time limit of their own.
	Long bool
	// Expected is the expected duration, Limit the longest permitted one.
	Expected time.Duration
	Limit    time.Duration
}

// Accepts reports whether the router accepts the request. The parameter otherServing says whether another router is
// serving.
func (p Progress) Accepts(r Request, otherServing bool) bool {
	if r.Limit <= p.Remaining {
		return true
	}
	if !r.Long || p.Elapsed > DetectionTime {
		return false
	}
	return r.Expected <= p.Remaining || !otherServing
}
