package direct

import (
	"slices"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/store"
)

// applyChanges applies changes of the store. The quarantine is applied first, so that it is known before any upstream, and configurations
// last, so that their upstreams are known when they become active.
func (st *state) applyChanges(changes []store.Change) {
	var config []store.Change
	layout := st.decode.Layout
	for _, c := range changes {
		if layout.Quarantine != "" && c.Key == layout.Quarantine {
			st.applySavedQuarantine(c)
		}
	}
	for _, c := range changes {
		st.enterEra(c.Modified)
		switch {
		case c.Key == layout.Config:
			config = append(config, c)
		case hasPrefix(c.Key, layout.Upstreams):
			st.applyUpstream(c)
		case hasPrefix(c.Key, layout.Routers):
			st.applyRouter(c)
		case layout.RolloutOrders != "" && hasPrefix(c.Key, layout.RolloutOrders):
			st.applyOrder(c)
		case layout.Rollouts != "" && hasPrefix(c.Key, layout.Rollouts):
			st.applyRecord(c)
		}
	}
	st.applyNewestConfig(config)
}

// applyNewestConfig activates the newest of several configurations, in the order of their revisions, that can be read. The others are not
// decoded: the answer of a watch after an outage holds all versions written meanwhile, and decoding a large one may take a router that is
// short of CPU a second.
func (st *state) applyNewestConfig(list []store.Change) {
	for _, c := range slices.Backward(list) {
		if st.applyConfig(c) {
			return
		}
	}
}

// enterEra records that the store has returned from an older copy if a change is the first one of a new era. Entries of upstreams may be
// missing there until the upstreams have written them again.
func (st *state) enterEra(r store.Revision) {
	st.mu.Lock()
	defer st.mu.Unlock()
	old := st.era
	if r.Era() <= old {
		return
	}
	st.era = r.Era()
	if st.config.Load() == nil && old == 0 {
		return
	}
	st.fleet.StoreRestored(st.clock.Now())
	st.log.Write(event.StoreRestored, "era", st.era, "before", old, "store_revision", r, "config_version", uint64(st.configVersion()))
}

// storeEra returns the latest known era of the store.
func (st *state) storeEra() store.Era {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.era
}

// configVersion returns the version of the active configuration, or zero if there is none.
func (st *state) configVersion() routing.Version {
	if cfg := st.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// applyConfig activates a configuration unless it is older than the active one or unreadable, and reports whether it or an equal one is
// active.
func (st *state) applyConfig(c store.Change) bool {
	if c.Removed {
		return false
	}
	cfg, err := st.decode.Config(c.Value)
	if err != nil {
		st.log.Write(event.ConfigUnreadable, "store_revision", c.Modified, "error", err.Error())
		return false
	}
	if old := st.config.Load(); old != nil && old.Version >= cfg.Version {
		if old.Version > cfg.Version {
			st.log.Write(event.ConfigOutdated, "version", uint64(cfg.Version), "active", uint64(old.Version), "store_revision", c.Modified)
		}
		return old.Version == cfg.Version
	}
	if st.config.Swap(cfg) == nil {
		close(st.configured)
	}
	st.mu.Lock()
	if st.configuredAt.IsZero() {
		st.configuredAt = st.clock.Now()
	}
	close(st.activation)
	st.activation = make(chan struct{})
	st.mu.Unlock()
	st.reviewUndeclared()
	st.metrics.Gauge("config_version").Update(int64(cfg.Version))
	st.log.Write(event.ConfigActivated, "version", uint64(cfg.Version), "store_revision", c.Modified)
	return true
}

// nextActivation returns a channel that is closed when the next configuration becomes active.
func (st *state) nextActivation() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.activation
}

// applyUpstream applies a change of an upstream's entry.
func (st *state) applyUpstream(c store.Change) {
	now := st.clock.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.updateStoreReachable(now)
	delete(st.undeclared, c.Key)
	if c.Removed {
		id := ids.VM(c.Key[len(st.decode.Layout.Upstreams):])
		st.fleet.Remove(id, now)
		st.picker.Forget(id)
		st.calls.Forget(id)
		st.rateLimits.Forget(id)
		st.updatePresence(now)
		st.log.Write(event.UpstreamChanged, "upstream", id, "state", "entry removed", "store_revision", c.Modified)
		return
	}
	e, err := st.decode.Upstream(c.Key, c.Value)
	if err != nil {
		st.log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", c.Modified)
		return
	}
	if !st.admitEntry(e, c) {
		return
	}
	old, known := st.fleet.Get(e.ID)
	left := st.fleet.HasLeft(e.ID, e.Started)
	if !st.fleet.Put(e, c.Modified.Era(), now) {
		st.log.Write(event.UpstreamChanged, "upstream", e.ID, "state", "entry of an older copy ignored", "draining", e.Draining,
			"started", e.Started, "seq", e.Seq, "store_revision", c.Modified)
		return
	}
	if !known || old.Started != e.Started {
		// Connections to the previous upstream at the address may look open if it ended without closing them.
		st.pool.CloseIdle(e.Address)
		st.rateLimits.Forget(e.ID)
	}
	st.rolloutOf(e.Service)
	st.updatePresence(now)
	st.paceRegistered(old, known, left, e, now)
	old.Seq = e.Seq
	if known && old.Entry == e {
		return
	}
	st.log.Write(event.UpstreamChanged, "upstream", e.ID, "service", e.Service, "address", e.Address,
		"failure_domain", e.Domain, "draining", e.Draining, "started", e.Started, "store_revision", c.Modified)
}

func hasPrefix(key, prefix string) bool { return len(key) > len(prefix) && key[:len(prefix)] == prefix }
