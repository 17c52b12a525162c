package direct

import (
	"cmp"
	"maps"
	"slices"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/store"
)

// maxUndeclared bounds the entries of undeclared services that are kept until their services are declared.
const maxUndeclared = 4096

// admitEntry reports whether an upstream's entry names a service of the configuration. An entry that does not may come from another
// writer and have the address of an upstream that is in use; it is set aside until its service is declared. Before the first configuration all entries
// count, and are reviewed when it comes. The caller must hold st.mu.
func (st *state) admitEntry(e fleet.Entry, c store.Change) bool {
	cfg := st.config.Load()
	declared := true
	if cfg != nil {
		_, declared = cfg.Service(e.Service)
	}
	if cfg != nil && declared {
		return true
	}
	if len(st.undeclared) < maxUndeclared {
		st.undeclared[c.Key] = c
	}
	if !declared {
		if u, known := st.fleet.Get(e.ID); known {
			st.fleet.Forget(u.ID, u.Started, st.clock.Now())
		}
		st.log.Write(event.EntryUnreadable, "key", c.Key, "error", "the configuration does not declare its service", "service", e.Service,
			"store_revision", c.Modified)
	}
	return declared
}

// reviewUndeclared applies the entries of undeclared services that the configuration declares now, in the order in which they were written.
func (st *state) reviewUndeclared() {
	st.mu.Lock()
	list := slices.Collect(maps.Values(st.undeclared))
	st.mu.Unlock()
	slices.SortFunc(list, func(a, b store.Change) int { return cmp.Compare(a.Modified, b.Modified) })
	cfg := st.config.Load()
	for _, c := range list {
		e, err := st.decode.Upstream(c.Key, c.Value)
		if err != nil {
			continue
		}
		_, declared := cfg.Service(e.Service)
		inUse := locked(&st.mu, func() bool {
			_, known := st.fleet.Get(e.ID)
			return known
		})
		// An undeclared one that was admitted before the first configuration is dropped.
		if declared || inUse {
			st.applyUpstream(c)
		}
	}
}
