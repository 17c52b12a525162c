// Package mirror keeps a local replica of the keys of the store that a router uses, and updates it from the store or from
// other routers.
//
// Each key carries the revision of its last change, also after its removal. Changes can therefore arrive in any order and
// from any source: an older change of a key never replaces a newer one.
//
// # Usage
//
//	r := mirror.NewReplica()
//	changed := r.Apply(changes.List, changes.Revision)
//	delta := r.ChangesSince(peerRevision) // for a router that lacks changes
package mirror

import (
	"strings"

	"bilberrylug.dev/core/store"
)

// Layout names the keys and prefixes of the store that are replicated.
type Layout struct {
	// Config is the key of the configuration.
	Config string
	// Upstreams is the prefix of the upstreams' entries.
	Upstreams string
	// Routers is the prefix of the routers' own entries.
	Routers string
}

// maxTombstones bounds the removed keys that are kept for routers that lack changes.
const maxTombstones = 4096

type entry struct {
	value    []byte
	modified store.Revision
	removed  bool
}

// Replica holds the keys, their values and their revisions. It is not safe for concurrent use.
type Replica struct {
	entries    map[string]entry
	tombstones int
	revision   store.Revision
}

// NewReplica returns an empty replica at revision zero.
func NewReplica() *Replica { return &Replica{entries: make(map[string]entry)} }

// Revision returns the revision of the store up to which the replica is complete.
func (r *Replica) Revision() store.Revision { return r.revision }

// Merge applies the changes between two revisions of another replica, and returns those that were new. The replica's
// revision rises only if the replica was complete up to since; otherwise changes before since are still missing.
func (r *Replica) Merge(list []store.Change, since, upTo store.Revision) []store.Change {
	if r.revision < since {
		upTo = r.revision
	}
	return r.Apply(list, upTo)
}

// Apply applies changes that complete the replica up to a revision, and returns those that were new.
func (r *Replica) Apply(list []store.Change, upTo store.Revision) []store.Change {
	var applied []store.Change
	for _, c := range list {
		old, known := r.entries[c.Key]
		if known && old.modified >= c.Modified {
			continue
		}
		r.set(c)
		if !c.Removed || known && !old.removed {
			applied = append(applied, c)
		}
	}
	r.revision = max(r.revision, upTo)
	return applied
}

// Reset applies a full listing of one prefix that was started at a revision, and returns the changes that were new. Known
// keys that the listing lacks have been removed, unless they changed after that revision.
func (r *Replica) Reset(prefix string, items []store.Item, at store.Revision) []store.Change {
	present := make(map[string]bool, len(items))
	list := make([]store.Change, 0, len(items))
	for _, i := range items {
		present[i.Key] = true
		list = append(list, store.Change{Item: i})
	}
	for key, old := range r.entries {
		if strings.HasPrefix(key, prefix) && !present[key] && !old.removed && old.modified <= at {
			list = append(list, store.Change{Item: store.Item{Key: key, Modified: at}, Removed: true})
		}
	}
	return r.Apply(list, r.revision)
}

// MarkComplete records that all prefixes have been listed at a revision or later.
func (r *Replica) MarkComplete(at store.Revision) { r.revision = max(r.revision, at) }

// ChangesSince returns the changes after a revision, for a router that is complete up to it.
func (r *Replica) ChangesSince(since store.Revision) []store.Change {
	var out []store.Change
	for key, e := range r.entries {
		if e.modified > since {
			out = append(out, store.Change{Item: store.Item{Key: key, Value: e.value, Modified: e.modified}, Removed: e.removed})
		}
	}
	return out
}

func (r *Replica) set(c store.Change) {
	if old, known := r.entries[c.Key]; known && old.removed {
		r.tombstones--
	}
	r.entries[c.Key] = entry{value: c.Value, modified: c.Modified, removed: c.Removed}
	if !c.Removed {
		return
	}
	r.tombstones++
	if r.tombstones > maxTombstones {
		r.pruneTombstones()
	}
}

// pruneTombstones drops the removed keys whose revision lies in the older half of the range of revisions.
func (r *Replica) pruneTombstones() {
	var oldest, newest store.Revision
	for _, e := range r.entries {
		if e.removed && (oldest == 0 || e.modified < oldest) {
			oldest = e.modified
		}
		newest = max(newest, e.modified)
	}
	middle := oldest + (newest-oldest)/2
	for key, e := range r.entries {
		if e.removed && e.modified <= middle {
			delete(r.entries, key)
			r.tombstones--
		}
	}
}
