// Package ratelimit shares the request rate that an upstream takes from all routers among them, without a coordinator.
//
// An upstream in need names in its answers the rate that it takes. Each router records what the answers say and passes it on with its
// state updates; the newest statement counts. It fades when nobody hears from the upstream any more.
//
// Each router takes the part of a limit that its demand for the service has in the demand of all, which the routers announce to each
// other. A router counts on its own demand only as far as all others have been told of it, so that the parts never add up to more than
// the limit. Where there are more routers than a small limit has requests a second, only some of them share it.
//
// # Usage
//
//	l := ratelimit.New("entry-1")
//	change, changed := l.Record("engine-7", "pool", ratelimit.Statement{Named: true, Rate: 5.5}, sent, now)
//	l.Merge(reports, now)     // statements that another router has passed on
//	reports := l.Reports(now) // statements for the other routers
//	l.RecordRequest("pool", now)
//	demand := l.Announce("pool", now)         // for the other routers
//	if l.Delay("engine-7", now) == 0 { l.Take("engine-7", now) } // may send
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// maxUpstreams bounds the upstreams whose statements are kept.
	maxUpstreams = 4096
	// releaseReportTime is how long it is passed on that an upstream names no limit any more. It exceeds the longest interval of state
	// updates, so that an older statement does not return.
	releaseReportTime = 4 * time.Second
)

// Statement is what an answer of an upstream says about its limit.
type Statement struct {
	// Named is set if the upstream names a limit.
	Named bool
	// Rate is what it takes from all routers together.
	Rate Rate
}

// Report is a statement as one router passes it on to another.
type Report struct {
	Upstream ids.VM
	Service  ids.Service
	Statement
	// Age is the time since the statement was made.
	Age time.Duration
}

// Change is a change of what is believed about an upstream's limit.
type Change struct {
	Upstream ids.VM
	Statement
	// Before is the statement that counted until now, BeforeAge its age; zero if there was none.
	Before    Statement
	BeforeAge time.Duration
	// Age is the age of the new statement.
	Age time.Duration
}

// LogFields returns the change as attributes of a log event.
func (c Change) LogFields() []any {
	return []any{
		"upstream", c.Upstream, "limited", c.Named, "limit", float64(c.Rate), "age", c.Age.String(),
		"limited_before", c.Before.Named, "limit_before", float64(c.Before.Rate), "age_before", c.BeforeAge.String(),
	}
}

// limited is an upstream about whose limit there is a statement.
type limited struct {
	service ids.Service
	Statement
	// at is when the statement was made, as late as possible for one that names a limit and as early as possible for another one.
	at time.Time
	// heardAt is when this router heard of it.
	heardAt time.Time
	// bucket limits this router's requests; nil until it is used.
	bucket *bucket
}

// Limiter holds the limits of upstreams, as known to one router. It is not safe for concurrent use.
type Limiter struct {
	self      ids.VM
	upstreams map[ids.VM]*limited
	services  map[ids.Service]*serviceDemand
	// holds are the times until which upstreams want nothing from this router.
	holds map[ids.VM]time.Time
	// present holds the other routers, interval the longest interval at which they receive state updates.
	present  map[ids.VM]bool
	interval time.Duration
}

// New returns a limiter of a router that knows no limits.
func New(self ids.VM) *Limiter {
	return &Limiter{
		self: self, upstreams: map[ids.VM]*limited{}, services: map[ids.Service]*serviceDemand{}, present: map[ids.VM]bool{},
		holds: map[ids.VM]time.Time{},
	}
}

// Record records what an answer of an upstream has said to a request that was sent at some time, and reports whether that changes its
// limit. Answers may overtake each other: one that names no limit lifts a limit only if its request was sent after the limit was heard of.
func (l *Limiter) Record(id ids.VM, service ids.Service, s Statement, sent, now time.Time) (Change, bool) {
	at := now
	if !s.Named {
		at = sent
	}
	return l.learn(id, service, s, at, now)
}

// Merge records statements that another router has passed on, and returns the changes.
func (l *Limiter) Merge(list []Report, now time.Time) []Change {
	var out []Change
	for _, r := range list {
		if c, changed := l.learn(r.Upstream, r.Service, r.Statement, now.Add(-r.Age), now); changed {
			out = append(out, c)
		}
	}
	return out
}

func (l *Limiter) learn(id ids.VM, service ids.Service, s Statement, at, now time.Time) (Change, bool) {
	u, known := l.upstreams[id]
	if !known && !s.Named {
		return Change{}, false
	}
	if !known {
		l.makeRoom()
		u = &limited{}
		l.upstreams[id] = u
	}
	if !at.After(u.at) {
		return Change{}, false
	}
	c := Change{Upstream: id, Statement: s, Age: now.Sub(at), Before: u.Statement}
	if known {
		c.BeforeAge = now.Sub(u.at)
	}
	changed := u.Statement != s
	if changed && u.bucket != nil {
		u.bucket.computedAt = time.Time{}
	}
	u.service, u.Statement, u.at, u.heardAt = service, s, at, now
	return c, changed
}

// makeRoom forgets the oldest statement if there are too many.
func (l *Limiter) makeRoom() {
	if len(l.upstreams) < maxUpstreams {
		return
	}
	var oldest ids.VM
	for id, u := range l.upstreams {
		if oldest == "" || u.at.Before(l.upstreams[oldest].at) {
			oldest = id
		}
	}
	delete(l.upstreams, oldest)
}

// Reports returns the statements for the other routers.
func (l *Limiter) Reports(now time.Time) []Report {
	var out []Report
	for id, u := range l.upstreams {
		age := now.Sub(u.at)
		if !u.Named && now.Sub(u.heardAt) > releaseReportTime {
			delete(l.upstreams, id)
			continue
		}
		out = append(out, Report{Upstream: id, Service: u.service, Statement: u.Statement, Age: age})
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Forget forgets an upstream that no longer exists or has started anew.
func (l *Limiter) Forget(id ids.VM) {
	delete(l.upstreams, id)
	delete(l.holds, id)
}
