package direct

import (
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// recordStatements records what an answer says about the upstream that has sent it.
func (st *state) recordStatements(u fleet.Upstream, r relay.Reply) {
	if r.Misdirected || r.Upstream != "" && r.Upstream != u.ID {
		return
	}
	if r.Limit.Unreadable {
		return
	}
	s := ratelimit.Statement{Named: r.Limit.Named, Rate: ratelimit.Rate(r.Limit.PerSecond)}
	now := st.clock.Now()
	changes := locked(&st.mu, func() []ratelimit.Change {
		if c, changed := st.rateLimits.Record(u.ID, u.Service, s, now); changed {
			return []ratelimit.Change{c}
		}
		return nil
	})
	st.logLimits(changes, u.ID)
	if len(changes) > 0 {
		st.broadcastSoon()
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
