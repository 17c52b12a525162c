package direct

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

const (
	// identityBroadcastTime is how long it is broadcast that an upstream's address answers with another ID. It exceeds the
	// longest interval of updates.
	identityBroadcastTime = 3 * time.Second
	// lostBroadcastTime is how long the loss of an upstream is broadcast.
	lostBroadcastTime = 300 * time.Millisecond
)

// buildUpdate returns the state update for the other routers.
func (a *App) buildUpdate() *wire.News {
	st := a.state
	n := &wire.News{Sender: string(a.cfg.VM), Address: a.cfg.Peers}
	if s, stopping := a.shutdown.status(); stopping {
		n.Leaving = true
		n.StopLeftMs = uint32(s.Remaining.Milliseconds())
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	for _, c := range st.watcherRole.Contacts(now) {
		n.Contacts = append(n.Contacts, &wire.StoreContact{
			Router: string(c.Router), AgeMs: uint32(now.Sub(c.At).Milliseconds()), Narrow: c.Narrow,
		})
	}
	rows := map[ids.VM]*wire.Work{}
	row := func(id ids.VM) *wire.Work {
		if rows[id] == nil {
			rows[id] = &wire.Work{Upstream: string(id)}
			n.Work = append(n.Work, rows[id])
		}
		return rows[id]
	}
	for id, work := range st.picker.OwnWork() {
		r := row(id)
		r.UnreadTokens = uint32(max(0, work.PendingPrefill))
		r.Running = uint32(max(0, work.Running))
		r.MemoryTokens = uint32(max(0, work.Memory))
	}
	for id, slowness := range st.picker.SlowEngines(now) {
		row(id).SlownessPercent = uint32(100 * slowness)
	}
	for _, id := range st.calls.Ejected(now) {
		row(id).Failing = true
	}
	for id, calls := range st.calls.OwnCalls() {
		row(id).Calls = uint32(calls)
	}
	for _, u := range st.fleet.LostUpstreams() {
		if now.Sub(u.LostAt()) < lostBroadcastTime {
			n.Lost = append(n.Lost, &wire.LostUpstream{Upstream: string(u.ID), Started: u.Started})
		}
	}
	for service, c := range st.budget.OwnCounts(now) {
		n.Counts = append(n.Counts, &wire.Counts{
			Service: string(service), Requests: uint32(c.Requests), Repeats: uint32(c.Retries),
			DemandMilli: wireconv.DemandToWire(st.rateLimits.Announce(service, now)),
		})
	}
	n.LeavingUpstreams = st.leavingReports(now)
	n.Rollouts = st.rolloutReports(now)
	n.Limits = wireconv.LimitsToWire(st.rateLimits.Reports(now))
	n.Windows = st.windowReports(now)
	n.Quarantine = wireconv.QuarantineToWire(st.quarantine.Report(now))
	st.renamed = slices.DeleteFunc(st.renamed, func(r renamedUpstream) bool { return now.Sub(r.renamedAt) > identityBroadcastTime })
	for _, r := range st.renamed {
		if r.newID == "" {
			n.Replaced = append(n.Replaced, string(r.oldID))
			continue
		}
		n.Renamed = append(n.Renamed, &wire.RenamedUpstream{Old: string(r.oldID), Name: string(r.newID)})
	}
	return n
}

// applyUpdate applies a state update of another router.
func (a *App) applyUpdate(n *wire.News) {
	st := a.state
	work := make(map[ids.VM]placement.Work, len(n.GetWork()))
	calls := make(map[ids.VM]int)
	slow := make(map[ids.VM]float64)
	var failing []ids.VM
	for _, r := range n.GetWork() {
		id := ids.VM(r.GetUpstream())
		work[id] = placement.Work{PendingPrefill: int(r.GetUnreadTokens()), Running: int(r.GetRunning()), Memory: int(r.GetMemoryTokens())}
		if r.GetCalls() > 0 {
			calls[id] = int(r.GetCalls())
		}
		if r.GetFailing() {
			failing = append(failing, id)
		}
		if p := r.GetSlownessPercent(); p > 0 {
			slow[id] = float64(p) / 100
		}
	}
	st.applyReport(n, work, calls, slow, failing)
	for _, l := range n.GetLeavingUpstreams() {
		st.markLeaving(ids.VM(l.GetUpstream()), l.GetStarted(), ids.VM(n.GetSender()))
	}
	for _, id := range n.GetReplaced() {
		st.dropReplaced(ids.VM(id), ids.VM(n.GetSender()))
	}
	for _, l := range n.GetLost() {
		st.markSuspected(ids.VM(l.GetUpstream()), l.GetStarted())
	}
}

// applyReport applies the parts of a state update that change the router's knowledge of the others.
func (st *state) applyReport(n *wire.News, work map[ids.VM]placement.Work, calls map[ids.VM]int, slow map[ids.VM]float64, failing []ids.VM) {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	st.applyPresence(n, now)
	st.picker.UpdatePeer(ids.VM(n.GetSender()), work, slow, now)
	st.calls.UpdatePeer(ids.VM(n.GetSender()), calls, failing, now)
	st.mergeRollouts(ids.VM(n.GetSender()), n.GetRollouts(), work, calls, now)
	for _, h := range n.GetHomes() {
		st.applyCachedPrompt(h, now)
	}
	sender := ids.VM(n.GetSender())
	for _, c := range n.GetCounts() {
		service := ids.Service(c.GetService())
		st.budget.SetPeerCounts(sender, service, budget.Counts{Requests: int(c.GetRequests()), Retries: int(c.GetRepeats())}, now)
		st.rateLimits.MergeDemand(sender, service, wireconv.DemandFromWire(c.GetDemandMilli()), now)
	}
	st.mergeLimits(n, now)
	st.mergeWindows(n, now)
	for _, r := range n.GetRenamed() {
		if st.fleet.Rename(ids.VM(r.GetOld()), ids.VM(r.GetName()), now) {
			st.log.Write(event.UpstreamChanged, "upstream", r.GetName(), "was", r.GetOld(), "told_by", n.GetSender())
			st.beginWindow(ids.VM(r.GetName()), 0, pace.Moved, now)
		}
	}
}

// applyPresence records whether another router serves and which routers the store has answered. The caller must hold st.mu.
func (st *state) applyPresence(n *wire.News, now time.Time) {
	sender := ids.VM(n.GetSender())
	for _, c := range n.GetContacts() {
		st.watcherRole.RecordPeer(mirror.StoreContact{
			Router: ids.VM(c.GetRouter()), At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond), Narrow: c.GetNarrow(),
		})
	}
	if n.GetLeaving() {
		st.watcherRole.RemovePeer(sender)
		st.peers.RecordStopping(sender, time.Duration(n.GetStopLeftMs())*time.Millisecond, now)
		return
	}
	if n.GetStatus().GetRevision() > 0 {
		st.peers.RecordServing(sender, now)
	}
}

// recordPrompt records which engine processes a prompt, for this router and for the next state update. The caller must
// hold st.mu.
func (st *state) recordPrompt(name string, engine ids.VM) {
	if name == "" {
		return
	}
	key := xxhash.Sum64String(name)
	now := st.clock.Now()
	st.promptEngines.Set(key, engine, now, now)
	st.recordedPrompts.add(&wire.PromptHome{Prompt: key, Upstream: string(engine)}, now)
}

// applyCachedPrompt records which engine has a prompt, as reported by another router. The caller must hold st.mu.
func (st *state) applyCachedPrompt(h *wire.PromptHome, now time.Time) {
	st.promptEngines.Set(h.GetPrompt(), ids.VM(h.GetUpstream()), now.Add(-time.Duration(h.GetAgeMs())*time.Millisecond), now)
}

// cachedPrompts returns all prompts whose engine is known, for a router that has just started.
func (st *state) cachedPrompts() []*wire.PromptHome {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []*wire.PromptHome
	st.promptEngines.Each(st.clock.Now(), func(prompt uint64, engine ids.VM, age time.Duration) {
		out = append(out, &wire.PromptHome{Prompt: prompt, Upstream: string(engine), AgeMs: uint32(age.Milliseconds())})
	})
	return out
}

// mergeCachedPrompts records which engines have which prompts, as reported by another router.
func (st *state) mergeCachedPrompts(list []*wire.PromptHome) {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	for _, h := range list {
		st.applyCachedPrompt(h, now)
	}
	st.log.Write(event.PromptsReceived, "prompts", len(list))
}

// promptEngine returns the engine that has a prompt in its KV cache, or the empty ID. The caller must hold st.mu.
func (st *state) promptEngine(name string) ids.VM {
	if name == "" {
		return ""
	}
	return st.promptEngines.Get(xxhash.Sum64String(name), st.clock.Now())
}
