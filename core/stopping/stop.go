// Package stopping decides which requests a router still accepts during a planned stop, and after which time callers retry
// those that it rejects.
//
// A stopping router has a bounded time to finish accepted requests. A generation that cannot finish within that time had
// better start at another router at once. When all routers restart in turn there may be no other, and the generation is
// accepted nevertheless.
//
// # Usage
//
//	s := stopping.Stop{Since: since, Left: left}
//	if !s.Takes(stopping.Work{Long: true, Expected: 6*time.Second, Limit: 25*time.Second}, fleet.Serving(now)) {
//		retryAfter := fleet.Back(left, now)
//	}
package stopping

import "time"

// Notice is the time within which the load balancer detects a planned stop: it checks once a second and acts on the second
// failed check.
const Notice = 3 * time.Second

// Stop describes how far a planned stop has progressed.
type Stop struct {
	// Since is the time since the stop began, Left the time that remains.
	Since time.Duration
	Left  time.Duration
}

// Work describes a request that arrives at a stopping router.
type Work struct {
	// Long work may continue at another router when its router ends; it has no short time limit of its own.
	Long bool
	// Expected is the expected duration, Limit the longest permitted one.
	Expected time.Duration
	Limit    time.Duration
}

// Takes reports whether the router accepts the request. The parameter others says whether another router is serving.
func (s Stop) Takes(w Work, others bool) bool {
	if w.Limit <= s.Left {
		return true
	}
	if !w.Long || s.Since > Notice {
		return false
	}
	return w.Expected <= s.Left || !others
}
