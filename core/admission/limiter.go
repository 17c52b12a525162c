// Package admission enforces the declared limits of each workspace over all routers, without a call to the platform's
// service for each request.
//
// One router coordinates a workspace, chosen by rendezvous hashing over the live routers. It grants credits, each for
// one request, in small batches that expire after a second. A router uses up its batch before it requests the next one.
// If it cannot reach the coordinator, it uses an equal share of the limit.
//
// # Usage
//
//	switch limiter.Admit(now, workspace) {
//	case admission.NeedsGrant:
//		granted := requestGrant(limiter.Want(workspace), limiter.Running(workspace))
//		limiter.ReceiveGrant(now, workspace, granted)
//	}
package admission

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Decision is the result of an admission check.
type Decision int

// The results of an admission check.
const (
	// Admitted means that the request may start.
	Admitted Decision = iota
	// NeedsGrant means that no credit is left and a grant has to be requested.
	NeedsGrant
	// Denied means that the coordinator granted no credit a moment ago.
	Denied
)

const (
	// denyDuration is how long a refusal by the coordinator is cached, so that a burst of requests does not cause a
	// burst of grant requests.
	denyDuration = 50 * time.Millisecond
	// maxBatch is the largest number of credits to request at once.
	maxBatch = 32
	// GrantLifetime is how long granted credits are valid.
	GrantLifetime = time.Second
)

// quota is the state of one workspace on this router.
type quota struct {
	credits     int
	expires     time.Time
	deniedUntil time.Time
	running     int
	// demand is a decaying count of requests, last halved at demandAt.
	demand   int
	demandAt time.Time
	// fallbackCredits are the credits of the equal share, last refilled at refilledAt.
	fallbackCredits float64
	refilledAt      time.Time
}

// Limiter admits the requests of one router by the credits granted to it. It is not safe for concurrent use.
type Limiter struct {
	quotas map[ids.Workspace]*quota
}

// NewLimiter returns a limiter without credits.
func NewLimiter() *Limiter { return &Limiter{quotas: make(map[ids.Workspace]*quota)} }

func (l *Limiter) quotaFor(w ids.Workspace) *quota {
	q, known := l.quotas[w]
	if !known {
		q = &quota{}
		l.quotas[w] = q
	}
	return q
}

// Admit admits a request if the workspace has a credit left, and uses up the credit.
func (l *Limiter) Admit(now time.Time, w ids.Workspace) Decision {
	q := l.quotaFor(w)
	q.recordDemand(now)
	if q.credits > 0 && now.Before(q.expires) {
		q.credits--
		q.running++
		return Admitted
	}
	if now.Before(q.deniedUntil) {
		return Denied
	}
	return NeedsGrant
}

// recordDemand counts a request. The count is halved once per GrantLifetime, so that it follows the recent demand.
func (q *quota) recordDemand(now time.Time) {
	if now.Sub(q.demandAt) > GrantLifetime {
		q.demand /= 2
		q.demandAt = now
	}
	q.demand++
}

// Want returns the number of credits to request: enough for a tenth of a second at the recent demand.
func (l *Limiter) Want(w ids.Workspace) int {
	return min(1+l.quotaFor(w).demand/10, maxBatch)
}

// Running returns the number of the workspace's requests running on this router.
func (l *Limiter) Running(w ids.Workspace) int { return l.quotaFor(w).running }

// ReceiveGrant adds the granted credits and drops those that have expired. If granted is zero, requests are denied for a
// short time.
func (l *Limiter) ReceiveGrant(now time.Time, w ids.Workspace, granted int) {
	q := l.quotaFor(w)
	if granted == 0 {
		q.deniedUntil = now.Add(denyDuration)
		return
	}
	if !now.Before(q.expires) {
		q.credits = 0
	}
	q.credits += granted
	q.expires = now.Add(GrantLifetime)
}

// Fallback admits a request if this router's equal share of the limit permits it, and reports whether it did. It is used
// while the coordinator is unreachable.
func (l *Limiter) Fallback(now time.Time, w ids.Workspace, limit Limit, routers int) bool {
	q := l.quotaFor(w)
	share := limit.RequestsPerSecond / float64(max(routers, 1))
	if q.refilledAt.IsZero() {
		q.fallbackCredits = 1
	}
	if !q.refilledAt.IsZero() {
		q.fallbackCredits = min(q.fallbackCredits+now.Sub(q.refilledAt).Seconds()*share, max(share, 1))
	}
	q.refilledAt = now
	if q.fallbackCredits < 1 || q.running >= max(limit.MaxRunning/max(routers, 1), 1) {
		return false
	}
	q.fallbackCredits--
	q.running++
	return true
}

// Release records that an admitted request has ended.
func (l *Limiter) Release(w ids.Workspace) {
	q := l.quotaFor(w)
	q.running = max(q.running-1, 0)
}

// Expire deletes the quotas of workspaces that have no request running and have had no request for longer than idle.
func (l *Limiter) Expire(now time.Time, idle time.Duration) {
	for w, q := range l.quotas {
		if q.running == 0 && now.Sub(q.demandAt) > idle {
			delete(l.quotas, w)
		}
	}
}
