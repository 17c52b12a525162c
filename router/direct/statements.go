package direct

import (
	"slices"
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// recordStatements records what the answer to a request that was sent at some time says about the upstream.
func (st *state) recordStatements(u fleet.Upstream, r relay.Reply, sentAt boottime.Instant) {
	if r.Misdirected || r.Upstream != "" && r.Upstream != u.ID {
		return
	}
	if r.Leaving {
		st.markLeaving(u.ID, u.Started, u.ID)
	}
	if r.RetryAfter > 0 {
		st.hold(u, r.RetryAfter)
	}
	if r.Limit.Unreadable {
		return
	}
	s := ratelimit.Statement{Named: r.Limit.Named, Rate: ratelimit.Rate(r.Limit.PerSecond)}
	now := st.clock.Now()
	sent := now.Add(-st.boot.Now().Sub(sentAt))
	changes := locked(&st.mu, func() []ratelimit.Change {
		if c, changed := st.rateLimits.Record(u.ID, u.Service, s, sent, now); changed {
			return []ratelimit.Change{c}
		}
		return nil
	})
	st.logLimits(changes, u.ID)
	if len(changes) > 0 {
		st.broadcastSoon()
	}
}

// hold sends nothing more to an upstream for as long as it has asked for.
func (st *state) hold(u fleet.Upstream, d time.Duration) {
	now := st.clock.Now()
	held := locked(&st.mu, func() bool {
		held := st.rateLimits.Hold(u.ID, now.Add(d), now)
		if held {
			st.beginWindow(u.ID, u.Started, pace.Paused, now)
		}
		return held
	})
	if held {
		st.log.Write(event.UpstreamHeld, "upstream", u.ID, "retry_after", d.String())
	}
}

func (st *state) logLimits(changes []ratelimit.Change, toldBy ids.VM) {
	for _, c := range changes {
		st.log.Write(event.UpstreamLimit, append(c.LogFields(), "told_by", toldBy)...)
	}
}

// mergeLimits records the limits that another router has reported. The caller must hold st.mu.
func (st *state) mergeLimits(n *wire.News, now time.Time) {
	reports := wireconv.LimitsFromWire(n.GetLimits())
	known := reports[:0]
	for _, r := range reports {
		if u, ok := st.fleet.Get(r.Upstream); ok {
			r.Service = u.Service
			known = append(known, r)
		}
	}
	st.logLimits(st.rateLimits.Merge(known, now), ids.VM(n.GetSender()))
}

// leavingUpstream is an upstream that has said that it is leaving.
type leavingUpstream struct {
	id      ids.VM
	started int64
	at      time.Time
}

// markLeaving records that an upstream has said that it is leaving.
func (st *state) markLeaving(id ids.VM, started int64, toldBy ids.VM) {
	now := st.clock.Now()
	news := locked(&st.mu, func() bool {
		news := st.fleet.MarkLeaving(id, started)
		if news {
			st.leaving = append(st.leaving, leavingUpstream{id, started, now})
		}
		return news
	})
	if !news {
		return
	}
	st.log.Write(event.Draining, "upstream", id, "started", started, "told_by", toldBy)
	st.broadcastSoon()
}

// leavingReports returns the upstreams that have said lately that they are leaving. The caller must hold st.mu.
func (st *state) leavingReports(now time.Time) []*wire.LeavingUpstream {
	st.leaving = slices.DeleteFunc(st.leaving, func(l leavingUpstream) bool { return now.Sub(l.at) > identityBroadcastTime })
	var out []*wire.LeavingUpstream
	for _, l := range st.leaving {
		out = append(out, &wire.LeavingUpstream{Upstream: string(l.id), Started: l.started})
	}
	return out
}
