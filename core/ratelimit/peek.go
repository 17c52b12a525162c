package ratelimit

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// View is what is known about the limit of an upstream.
type View struct {
	// Delay is what [Limiter.Delay] returns.
	Delay time.Duration
	// Held is how long the upstream wants nothing from this router, since it has turned a request away.
	Held time.Duration
	// Limited is set if the upstream names a limit. Rate is that limit for all routers together, Part this router's part of
	// it, and Age the age of the statement.
	Limited bool
	Rate    Rate
	Part    Rate
	Age     time.Duration
}

// Peek returns what is known about the limit of an upstream. Unlike [Limiter.Delay], it does not set the rate of the
// upstream's bucket.
func (l *Limiter) Peek(id ids.VM, now time.Time) View {
	v := View{Held: max(0, l.holds[id].Sub(now))}
	v.Delay = v.Held
	u, known := l.upstreams[id]
	if !known {
		return v
	}
	v.Age = now.Sub(u.at)
	if v.Rate, v.Limited = u.effective(v.Age); !v.Limited {
		return View{Delay: v.Delay, Held: v.Held}
	}
	// A new bucket holds one token.
	tokens := 1.0
	if u.bucket != nil {
		tokens = u.bucket.TokensAt(now)
	}
	if l.isFresh(u.bucket, now) {
		v.Part = u.bucket.rate
	} else {
		v.Part = v.Rate * Rate(share(id, v.Rate, l.peekSharers(u.service, now)))
	}
	v.Delay = delay(tokens, v.Part, v.Held)
	return v
}

// peekSharers returns what sharers returns, without forgetting announcements.
func (l *Limiter) peekSharers(s ids.Service, now time.Time) []sharer {
	d, known := l.services[s]
	if !known {
		d = &serviceDemand{}
	}
	return l.sharersOf(d, now, (*announcements).peekLeast)
}
