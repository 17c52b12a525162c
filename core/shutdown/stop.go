// Package stopping decides which requests a router still takes while it stops, and when those come back that it does not.
//
// A router that stops has a bounded time for what it has taken. A generation that cannot end within that time is better begun
// at another router at once; when all routers stop in turn there is none, and what can be begun is begun.
//
// # Usage
//
//	s := stopping.Progress{Since: since, Left: left}
//	if !s.Takes(stopping.Work{Long: true, Expected: 6*time.Second, Limit: 25*time.Second}, fleet.Serving(now)) {
//		retryAfter := fleet.Back(now, left)
//	}
package shutdown

import "time"

// DetectionTime is the time in which the balancer learns of a planned stop: it asks once a second and believes the second miss.
const DetectionTime = 3 * time.Second

// Progress is where a router stands in its planned stop.
type Progress struct {
	// Elapsed is the time since the stop began, Left what remains of it.
	Elapsed   time.Duration
	Remaining time.Duration
}

// Work is a request that a stopping router is asked to take.
type Request struct {
	// Long work may go on elsewhere when its router ends; it has no short limit of its own.
	Long bool
	// Expected is how long it is expected to take, Limit how long it may take.
	Expected time.Duration
	Limit    time.Duration
}

// Accepts tells whether the router takes the work. Others tells that another router serves.
func (s Progress) Accepts(w Request, others bool) bool {
	if w.Limit <= s.Remaining {
		return true
	}
	if !w.Long || s.Elapsed > DetectionTime {
		return false
	}
	return w.Expected <= s.Remaining || !others
}
