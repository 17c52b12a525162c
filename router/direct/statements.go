package direct

import (
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/relay"
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
	var changed bool
	c := locked(&st.mu, func() ratelimit.Change {
		var c ratelimit.Change
		c, changed = st.rateLimits.Record(u.ID, u.Service, s, now)
		return c
	})
	if changed {
		st.log.Write(event.UpstreamLimit, append(c.LogFields(), "told_by", u.ID)...)
	}
}
