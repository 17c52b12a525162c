package direct

import (
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
)

// markLost marks an upstream as unavailable. It wakes the streams that run on it and, if its failure domain is suspected,
// those that run elsewhere in the domain.
func (st *state) markLost(u fleet.Upstream, reason string) {
	now := st.clock.Now()
	newlyLost := false
	affected := locked(&st.mu, func() affectedStreams {
		current, ok := st.fleet.Get(u.ID)
		newlyLost = ok && current.Started == u.Started && current.LostAt().IsZero()
		st.fleet.MarkLost(u.ID, u.Started, now)
		return st.affected(u, st.fleet.DomainSuspected(u.Domain, now))
	})
	st.pool.CloseIdle(u.Address)
	if newlyLost {
		st.log.Write(event.UpstreamLost, "upstream", u.ID, "failure_domain", u.Domain, "reason", reason,
			"domain_suspect", affected.domainSuspected)
		st.metrics.Counter("upstreams_lost").Inc(1)
	}
	affected.notify(u)
	if newlyLost {
		st.broadcastSoon()
	}
}

// markSuspected records that another router reported an upstream as lost.
func (st *state) markSuspected(id ids.VM, started int64) {
	now := st.clock.Now()
	var u fleet.Upstream
	newlySuspected := false
	affected := locked(&st.mu, func() affectedStreams {
		u, _ = st.fleet.Get(id)
		newlySuspected = st.fleet.MarkSuspected(id, started, now)
		if !newlySuspected {
			return affectedStreams{}
		}
		return st.affected(u, st.fleet.DomainSuspected(u.Domain, now))
	})
	if !newlySuspected {
		return
	}
	// The upstream may have restarted: a request on a connection to its previous process would be lost.
	st.pool.CloseIdle(u.Address)
	affected.notify(u)
}

// affectedStreams holds the streams that the loss of an upstream may affect.
type affectedStreams struct {
	// domainSuspected is set if the whole failure domain may be lost.
	domainSuspected bool
	// recheck holds the streams whose own upstream may be lost too.
	recheck []*stream
	// all holds all running streams: their KV cache copies may be lost.
	all []*stream
}

// affected returns the streams that the loss of an upstream may affect. The caller must hold st.mu.
func (st *state) affected(u fleet.Upstream, domainSuspected bool) affectedStreams {
	out := affectedStreams{domainSuspected: domainSuspected}
	for id, streams := range st.running {
		engine, known := st.fleet.Get(id)
		recheck := id == u.ID || domainSuspected && known && engine.Domain == u.Domain
		for s := range streams {
			out.all = append(out.all, s)
			if recheck {
				out.recheck = append(out.recheck, s)
			}
		}
	}
	return out
}

// notify makes the streams check their upstreams at once and replace lost KV cache copies.
func (a affectedStreams) notify(u fleet.Upstream) {
	for _, s := range a.recheck {
		s.wake()
	}
	for _, s := range a.all {
		s.copyHostLost(u, a.domainSuspected)
	}
}

// markRecovered marks a lost upstream as available again.
func (st *state) markRecovered(u fleet.Upstream) {
	st.mu.Lock()
	if current, known := st.fleet.Get(u.ID); known && current.Started == u.Started {
		st.paceRecovered(current, st.clock.Now())
	}
	st.fleet.MarkRecovered(u.ID, u.Started)
	st.mu.Unlock()
	st.log.Write(event.UpstreamRecovered, "upstream", u.ID, "lost_for", st.clock.Since(u.LostAt()).String())
}

// renamedUpstream records that the address of an upstream now answers with another ID. An empty newID says that the upstream
// there may be one of another service.
type renamedUpstream struct {
	oldID, newID ids.VM
	renamedAt    time.Time
}

// updateID replaces the ID of an upstream whose address has answered a request with another one. It drops the upstream if the address
// may have been reassigned to another service.
func (st *state) updateID(u fleet.Upstream, newID ids.VM, sentAt boottime.Instant) {
	now := st.clock.Now()
	x := fleet.Exchange{Sent: sentAt, Read: st.boot.Now()}
	var aliveAt boottime.Instant
	adopted := locked(&st.mu, func() bool {
		if current, known := st.fleet.Get(u.ID); known {
			aliveAt = current.AliveAt()
		}
		adopted := st.fleet.AdoptID(u, newID, x, now, st.addressReuse)
		r := renamedUpstream{oldID: u.ID, renamedAt: now}
		if adopted {
			r.newID = newID
			st.beginWindow(newID, 0, pace.Moved, now)
		}
		st.renamed = append(st.renamed, r)
		return adopted
	})
	if !adopted {
		st.dropUpstream(u)
		st.broadcastSoon()
		return
	}
	st.pool.CloseIdle(u.Address)
	st.log.Write(event.UpstreamChanged, "upstream", newID, "was", u.ID, "alive_before", x.Read.Sub(aliveAt).String())
	st.broadcastSoon()
}

// dropUpstream removes an upstream whose address is in use by another one.
func (st *state) dropUpstream(u fleet.Upstream, args ...any) {
	st.mu.Lock()
	st.fleet.Forget(u.ID, u.Started, st.clock.Now())
	st.mu.Unlock()
	st.pool.CloseIdle(u.Address)
	st.log.Write(event.UpstreamLost, append([]any{"upstream", u.ID, "reason", "address in use by another upstream"}, args...)...)
}

// dropReplaced removes an upstream of which another router reports that its address is in use by another one, unless this router may
// still adopt the one there.
func (st *state) dropReplaced(id, toldBy ids.VM) {
	st.mu.Lock()
	u, known := st.fleet.Get(id)
	mayAdopt := st.fleet.MayAdopt(id, st.boot.Now(), st.addressReuse)
	st.mu.Unlock()
	switch {
	case !known:
	case mayAdopt:
		st.confirm(u)
	default:
		st.dropUpstream(u, "told_by", toldBy)
	}
}
