package direct

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

const (
	// entryLease is the life of a router's entry in the store without renewal. A router whose entry has lapsed is still
	// known to those that it tells news.
	entryLease = 6 * time.Second
	// entryRenewal leaves time for two tries before the lease ends.
	entryRenewal = 2 * time.Second
	// entryTime bounds the calls of one renewal.
	entryTime = 1500 * time.Millisecond
	// renamedLife is how long the new name of an upstream is news.
	renamedLife = time.Second
	// lostLife is how long the loss of an upstream is news.
	lostLife = 300 * time.Millisecond
)

// routerEntry is a router's entry in the store.
type routerEntry struct {
	Address string `json:"address"`
}

// news gathers what the other routers are told.
func (a *App) news() *wire.News {
	w := a.world
	n := &wire.News{
		Sender: string(a.cfg.VM), Address: a.cfg.Peers, Revision: uint64(a.follower.Revision()),
	}
	if served := a.follower.LastAnswer(); !served.IsZero() {
		n.StoreAgeMs = uint32(max(1, w.clock.Since(served).Milliseconds()))
	}
	if s, stops := a.stop.stop(); stops {
		n.Leaving = true
		n.StopLeftMs = uint32(s.Remaining.Milliseconds())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	rows := map[ids.VM]*wire.Work{}
	row := func(id ids.VM) *wire.Work {
		if rows[id] == nil {
			rows[id] = &wire.Work{Upstream: string(id)}
			n.Work = append(n.Work, rows[id])
		}
		return rows[id]
	}
	for id, work := range w.picker.Own() {
		r := row(id)
		r.UnreadTokens = uint32(max(0, work.PendingPrefill))
		r.Running = uint32(max(0, work.Running))
		r.MemoryTokens = uint32(max(0, work.Memory))
	}
	for id, slowness := range w.picker.SlowEngines(now) {
		row(id).SlownessPercent = uint32(100 * slowness)
	}
	for _, id := range w.calls.Ejected(now) {
		row(id).Failing = true
	}
	for id, calls := range w.calls.Own() {
		row(id).Calls = uint32(calls)
	}
	for _, u := range w.fleet.LostUpstreams() {
		if now.Sub(u.LostAt()) < lostLife {
			n.Lost = append(n.Lost, &wire.LostUpstream{Upstream: string(u.ID), Started: u.Started})
		}
	}
	for service, c := range w.budget.OwnCounts(now) {
		n.Counts = append(n.Counts, &wire.Counts{Service: string(service), Requests: uint32(c.Requests), Repeats: uint32(c.Retries)})
	}
	w.renamed = slices.DeleteFunc(w.renamed, func(r renamed) bool { return now.Sub(r.at) > renamedLife })
	for _, r := range w.renamed {
		n.Renamed = append(n.Renamed, &wire.RenamedUpstream{Old: string(r.old), Name: string(r.name)})
	}
	n.Homes = w.newHomes
	w.newHomes = nil
	return n
}

// takeNews takes another router's news.
func (a *App) takeNews(n *wire.News) {
	w := a.world
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
	w.mu.Lock()
	now := w.clock.Now()
	w.takePresence(n, now)
	w.picker.UpdatePeer(ids.VM(n.GetSender()), work, slow, now)
	w.calls.UpdatePeer(ids.VM(n.GetSender()), calls, failing, now)
	for _, h := range n.GetHomes() {
		w.takeHome(h, now)
	}
	for _, c := range n.GetCounts() {
		w.budget.SetPeerCounts(ids.VM(n.GetSender()), ids.Service(c.GetService()), budget.Counts{Requests: int(c.GetRequests()), Retries: int(c.GetRepeats())}, now)
	}
	for _, r := range n.GetRenamed() {
		if w.fleet.Rename(ids.VM(r.GetOld()), ids.VM(r.GetName()), now) {
			w.log.Write(event.UpstreamChanged, "upstream", r.GetName(), "was", r.GetOld(), "told_by", n.GetSender())
		}
	}
	w.mu.Unlock()
	for _, l := range n.GetLost() {
		w.doubt(ids.VM(l.GetUpstream()), l.GetStarted())
	}
}

// takePresence notes whether another router serves and whether the store answers it. The caller holds the lock.
func (w *world) takePresence(n *wire.News, now time.Time) {
	sender := ids.VM(n.GetSender())
	if n.GetLeaving() {
		w.duty.RemovePeer(sender)
		w.others.RecordStopping(sender, time.Duration(n.GetStopLeftMs())*time.Millisecond, now)
		return
	}
	if n.GetRevision() > 0 {
		w.others.RecordServing(sender, now)
	}
	if age := n.GetStoreAgeMs(); age > 0 {
		w.duty.RecordPeer(sender, now.Add(-time.Duration(age)*time.Millisecond))
	}
}

// placedPrompt notes where a prompt is being read, for this router and the others. The caller holds the lock.
func (w *world) placedPrompt(name string, at ids.VM) {
	if name == "" {
		return
	}
	key := xxhash.Sum64String(name)
	now := w.clock.Now()
	w.homes.Set(key, at, now, now)
	w.newHomes = append(w.newHomes, &wire.PromptHome{Prompt: key, Upstream: string(at)})
}

// takeHome takes another router's word on where a prompt was placed. The caller holds the lock.
func (w *world) takeHome(h *wire.PromptHome, now time.Time) {
	w.homes.Set(h.GetPrompt(), ids.VM(h.GetUpstream()), now.Add(-time.Duration(h.GetAgeMs())*time.Millisecond), now)
}

// allHomes returns all prompts whose engines are known, for a router that has just started.
func (w *world) allHomes() []*wire.PromptHome {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*wire.PromptHome
	w.homes.Each(w.clock.Now(), func(prompt uint64, at ids.VM, age time.Duration) {
		out = append(out, &wire.PromptHome{Prompt: prompt, Upstream: string(at), AgeMs: uint32(age.Milliseconds())})
	})
	return out
}

// takeHomes takes all that another router knows of prompts.
func (w *world) takeHomes(list []*wire.PromptHome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for _, h := range list {
		w.takeHome(h, now)
	}
	w.log.Write(event.PromptsLearnt, "prompts", len(list))
}

func (w *world) homeOf(name string) ids.VM {
	if name == "" {
		return ""
	}
	return w.homes.Get(xxhash.Sum64String(name), w.clock.Now())
}

// routerChanged takes a change of another router's entry.
func (a *App) routerChanged(c store.Change) {
	vm := ids.VM(c.Key[len(a.o.Decode.Layout.Routers):])
	var e routerEntry
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &e); err != nil {
			a.o.Log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", uint64(c.Modified))
			return
		}
	}
	a.teller.SetListed(vm, e.Address)
	a.o.Log.Write(event.PeerChanged, "router", vm, "address", e.Address, "listed", !c.Removed, "store_revision", uint64(c.Modified))
}

// keepEntry keeps this router's entry in the store until the context ends.
func (a *App) keepEntry(ctx context.Context) {
	var lease store.Lease
	for ctx.Err() == nil {
		err := a.renewEntry(ctx, &lease)
		if err != nil && ctx.Err() == nil {
			a.o.Log.Write(event.StoreFailed, "call", "entry of this router", "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-a.o.Clock.After(entryRenewal):
		}
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), entryEnd)
	defer cancel()
	if err := a.o.Store.Revoke(ctx, lease); err != nil {
		a.o.Log.Write(event.StoreFailed, "call", "end of this router's lease", "error", err.Error())
	}
}

func (a *App) renewEntry(ctx context.Context, lease *store.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, entryTime)
	defer cancel()
	if *lease != 0 {
		err := a.o.Store.KeepAlive(ctx, *lease)
		if !errors.Is(err, store.ErrLeaseEnded) {
			return err
		}
		*lease = 0
	}
	l, _, err := a.o.Store.Grant(ctx, max(entryLease, time.Duration(a.cfg.Store.LeaseMinimumMs)*time.Millisecond))
	if err != nil {
		return err
	}
	value, err := json.Marshal(routerEntry{Address: a.cfg.Peers})
	if err != nil {
		return err
	}
	if err := a.o.Store.Put(ctx, a.o.Decode.Layout.Routers+string(a.cfg.VM), value, l); err != nil {
		return err
	}
	*lease = l
	return nil
}
