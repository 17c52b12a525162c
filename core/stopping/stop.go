// Package stopping decides which requests a router still takes while it stops, and when those come back that it does not.
//
// A router that stops has a bounded time for what it has taken. A generation that cannot end within that time is better begun
// at another router at once; when all routers stop in turn there is none, and what can be begun is begun.
//
// # Usage
//
//	s := stopping.Stop{Since: since, Left: left}
//	if !s.Takes(stopping.Work{Long: true, Expected: 6*time.Second, Limit: 25*time.Second}, fleet.Serving(now)) {
//		retryAfter := fleet.Back(now, left)
//	}
package stopping

import "time"

// Notice is the time in which the balancer learns of a planned stop: it asks once a second and believes the second miss.
const Notice = 3 * time.Second

// Stop is where a router stands in its planned stop.
type Stop struct {
	// Since is the time since the stop began, Left what remains of it.
	Since time.Duration
	Left  time.Duration
}

// Work is a request that a stopping router is asked to take.
type Work struct {
	// Long work may go on elsewhere when its router ends; it has no short limit of its own.
	Long bool
	// Expected is how long it is expected to take, Limit how long it may take.
	Expected time.Duration
	Limit    time.Duration
}

// Takes tells whether the router takes the work. Others tells that another router serves.
func (s Stop) Takes(w Work, others bool) bool {
	if w.Limit <= s.Left {
		return true
	}
	if !w.Long || s.Since > Notice {
		return false
	}
	return w.Expected <= s.Left || !others
}
