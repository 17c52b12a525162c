package ratelimit

import (
	"maps"
	"time"

	"bilberrylug.dev/core/ids"
)

// Hold keeps this router's requests from an upstream until a time, since the upstream has turned one away and asked for that. It reports
// whether the upstream was not held so far.
func (l *Limiter) Hold(id ids.VM, until, now time.Time) bool {
	held := l.holds[id].After(now)
	if len(l.holds) >= maxUpstreams {
		l.expireHolds(now)
	}
	if l.holds[id].Before(until) && len(l.holds) < maxUpstreams {
		l.holds[id] = until
	}
	return !held
}

func (l *Limiter) expireHolds(now time.Time) {
	maps.DeleteFunc(l.holds, func(_ ids.VM, until time.Time) bool { return !until.After(now) })
}
