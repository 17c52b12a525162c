package direct

import (
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
)

// lost takes an upstream out of use and wakes the streams that wait for it or for others of its failure domain.
func (w *world) lost(u fleet.Upstream, reason string) {
	now := w.clock.Now()
	w.mu.Lock()
	known, ok := w.fleet.Get(u.ID)
	fresh := ok && known.Started == u.Started && known.LostAt().IsZero()
	w.fleet.MarkLost(u.ID, u.Started, now)
	suspect := w.fleet.DomainSuspected(u.Domain, now)
	affected := w.affected(u, suspect)
	w.mu.Unlock()
	w.pool.CloseIdle(u.Address)
	if fresh {
		w.log.Write(event.UpstreamLost, "upstream", u.ID, "failure_domain", u.Domain, "reason", reason, "domain_suspect", suspect)
		w.metrics.Counter("upstreams_lost").Inc(1)
	}
	affected.tell(u, suspect)
	if fresh {
		w.nudge()
	}
}

// doubt takes another router's word that an upstream was lost.
func (w *world) doubt(id ids.VM, started int64) {
	now := w.clock.Now()
	w.mu.Lock()
	u, known := w.fleet.Get(id)
	if !known || !w.fleet.MarkSuspected(id, started, now) {
		w.mu.Unlock()
		return
	}
	suspect := w.fleet.DomainSuspected(u.Domain, now)
	affected := w.affected(u, suspect)
	w.mu.Unlock()
	// A request on a connection to a former start of the upstream would be lost.
	w.pool.CloseIdle(u.Address)
	affected.tell(u, suspect)
}

// affectedStreams are the streams that a loss concerns: waiting those whose upstream may be lost too, all those under way,
// whose copies may be.
type affectedStreams struct {
	waiting []*stream
	all     []*stream
}

// affected returns the streams that the loss of an upstream concerns. The caller holds the lock.
func (w *world) affected(u fleet.Upstream, suspect bool) affectedStreams {
	var out affectedStreams
	for id, list := range w.running {
		other, known := w.fleet.Get(id)
		hit := id == u.ID || suspect && known && other.Domain == u.Domain
		for s := range list {
			out.all = append(out.all, s)
			if hit {
				out.waiting = append(out.waiting, s)
			}
		}
	}
	return out
}

// tell has the waiting streams look at their upstreams now, and has lost copies made anew.
func (a affectedStreams) tell(u fleet.Upstream, suspect bool) {
	for _, s := range a.waiting {
		s.wake()
	}
	for _, s := range a.all {
		s.copyLost(u, suspect)
	}
}

// found puts an upstream back in use.
func (w *world) found(u fleet.Upstream) {
	w.mu.Lock()
	w.fleet.MarkRecovered(u.ID, u.Started)
	w.mu.Unlock()
	w.log.Write(event.UpstreamFound, "upstream", u.ID, "lost_for", w.clock.Since(u.LostAt()).String())
}

// renamed is an upstream that answers under another name at the same address.
type renamed struct {
	old, name ids.VM
	at        time.Time
}

// adopt takes the name under which an upstream's address answers now, or drops the upstream.
func (w *world) adopt(u fleet.Upstream, name ids.VM) {
	now := w.clock.Now()
	w.mu.Lock()
	adopted := w.fleet.AdoptID(u.ID, name, now, w.reuse)
	if adopted {
		w.renamed = append(w.renamed, renamed{old: u.ID, name: name, at: now})
	}
	w.mu.Unlock()
	if !adopted {
		w.forget(u)
		return
	}
	w.pool.CloseIdle(u.Address)
	w.log.Write(event.UpstreamChanged, "upstream", name, "was", u.ID, "last_answer", now.Sub(u.AnsweredAt()).String())
	w.nudge()
}

// forget drops an upstream whose address answers as another one.
func (w *world) forget(u fleet.Upstream) {
	w.mu.Lock()
	w.fleet.Forget(u.ID, u.Started)
	w.mu.Unlock()
	w.pool.CloseIdle(u.Address)
	w.log.Write(event.UpstreamLost, "upstream", u.ID, "reason", "another upstream has its address")
}
