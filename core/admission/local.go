// Package admission holds each workspace to its declared limits over all routers without a call on the platform's
// service for each request.
//
// One router is the home of a workspace, by rendezvous hash over the live ones. It gives out starts in small batches
// that lapse after a second. Every router spends its own batch first and asks for the next one. When the home cannot be
// reached, a router uses an equal share of the limit by itself.
//
// # Usage
//
//	switch local.Admit(now, workspace) {
//	case admission.NeedsGrant: granted := ask(home, local.Want(workspace)); local.Receive(now, workspace, granted, valid)
//	}
package admission

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Decision says whether a request may start.
type Decision int

// The answers.
const (
	// Admitted lets the request start.
	Admitted Decision = iota
	// NeedsGrant means that the home has to be asked first.
	NeedsGrant
	// Denied refuses the request: the home gave nothing a moment ago.
	Denied
)

const (
	// denyTime is how long a refusal by the home stands, so that a flood does not become a flood of grants.
	denyTime = 50 * time.Millisecond
	// maxBatch bounds the starts asked for at once.
	maxBatch = 32
	// GrantLifetime is how long granted starts may be spent.
	GrantLifetime = time.Second
)

type wallet struct {
	credits  int
	expires  time.Time
	deniedTo time.Time
	running  int
	recent   int
	recentAt time.Time
	fallback float64
	filledAt time.Time
}

// Limiter is one router's purse of granted starts. It is not safe for concurrent use.
type Limiter struct {
	wallets map[ids.Workspace]*wallet
}

// NewLimiter returns an empty purse.
func NewLimiter() *Limiter { return &Limiter{wallets: make(map[ids.Workspace]*wallet)} }

func (l *Limiter) wallet(w ids.Workspace) *wallet {
	p, known := l.wallets[w]
	if !known {
		p = &wallet{}
		l.wallets[w] = p
	}
	return p
}

// Admit spends a start if there is one.
func (l *Limiter) Admit(now time.Time, w ids.Workspace) Decision {
	p := l.wallet(w)
	p.noteDemand(now)
	if p.credits > 0 && now.Before(p.expires) {
		p.credits--
		p.running++
		return Admitted
	}
	if now.Before(p.deniedTo) {
		return Denied
	}
	return NeedsGrant
}

func (p *wallet) noteDemand(now time.Time) {
	if now.Sub(p.recentAt) > GrantLifetime {
		p.recent /= 2
		p.recentAt = now
	}
	p.recent++
}

// Want returns the number of starts to ask for: a tenth of a second's demand as far as it is known.
func (l *Limiter) Want(w ids.Workspace) int {
	return min(1+l.wallet(w).recent/10, maxBatch)
}

// Running returns the number of the workspace's requests on this router.
func (l *Limiter) Running(w ids.Workspace) int { return l.wallet(w).running }

// ReceiveGrant takes the home's answer.
func (l *Limiter) ReceiveGrant(now time.Time, w ids.Workspace, granted int) {
	p := l.wallet(w)
	if granted == 0 {
		p.deniedTo = now.Add(denyTime)
		return
	}
	if !now.Before(p.expires) {
		p.credits = 0
	}
	p.credits += granted
	p.expires = now.Add(GrantLifetime)
}

// Fallback admits by this router's own equal share of the limit, since the home cannot be reached.
func (l *Limiter) Fallback(now time.Time, w ids.Workspace, limit Limit, routers int) bool {
	p := l.wallet(w)
	share := limit.RequestsPerSecond / float64(max(routers, 1))
	if p.filledAt.IsZero() {
		p.fallback = 1
	}
	if !p.filledAt.IsZero() {
		p.fallback = min(p.fallback+now.Sub(p.filledAt).Seconds()*share, max(share, 1))
	}
	p.filledAt = now
	if p.fallback < 1 || p.running >= max(limit.MaxRunning/max(routers, 1), 1) {
		return false
	}
	p.fallback--
	p.running++
	return true
}

// Release notes that a request has ended.
func (l *Limiter) Release(w ids.Workspace) {
	p := l.wallet(w)
	p.running = max(p.running-1, 0)
}

// Expire drops the wallets of workspaces that have been quiet for the given time.
func (l *Limiter) Expire(now time.Time, idle time.Duration) {
	for w, p := range l.wallets {
		if p.running == 0 && now.Sub(p.recentAt) > idle {
			delete(l.wallets, w)
		}
	}
}
