// Package mirror keeps a local replica of the keys of the store that a router uses, and updates it from the store or from
// other routers.
//
// Each key carries the revision of its last change, also after its removal. Changes can therefore arrive in any order and
// from any source: an older change of a key never replaces a newer one.
//
// Routers exchange changes without the values that are larger than [MaxInlineBytes]. A replica knows the revision and the
// size of such a value until [Replica.Resolve] adds the value itself.
//
// # Usage
//
//	r := mirror.NewReplica()
//	changed := r.Apply(changes.List, changes.Revision)
//	delta := r.Delta(peerRevision, maxBytes) // for a router that lacks changes
package mirror

import (
	"cmp"
	"slices"
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
	// RolloutOrders is the prefix of the operator's orders of rollouts, Rollouts that of their records. Empty ones are not listed.
	RolloutOrders string
	Rollouts      string
	// Quarantine is the key of what the routers know of prompts that crash engines. An empty one is not listed.
	Quarantine string
}

// Prefixes returns what is listed: the prefixes, and the keys of the quarantine and of the configuration. The orders and records of
// rollouts and the quarantine come before the upstreams, so that a router that starts knows which versions may get requests, and which
// requests may be sent, before it knows any upstream.
func (l Layout) Prefixes() []string {
	var out []string
	for _, prefix := range []string{l.RolloutOrders, l.Rollouts, l.Quarantine} {
		if prefix != "" {
			out = append(out, prefix)
		}
	}
	return append(out, l.Upstreams, l.Config, l.Routers)
}

// WithoutRollouts returns the layout without the keys of rollouts.
func (l Layout) WithoutRollouts() Layout {
	l.RolloutOrders, l.Rollouts = "", ""
	return l
}

// maxTombstones bounds the removed keys that are kept for routers that lack changes.
const maxTombstones = 4096

type entry struct {
	value    []byte
	modified store.Revision
	removed  bool
	// omitted is the size of a value that the replica does not have; zero if value is complete.
	omitted int
}

// Replica holds the keys, their values and their revisions. It is not safe for concurrent use.
type Replica struct {
	entries    map[string]entry
	tombstones int
	revision   store.Revision
	// era is the latest era of the store of which the replica has a change or a listing.
	era store.Era
	// removalsAfter is the revision after which all removals are known, up to the replica's revision. A listing does not show which
	// keys were removed before it, and the oldest removals are not kept.
	removalsAfter store.Revision
	// listed holds the revision at which each prefix was last listed.
	listed map[string]store.Revision
}

// NewReplica returns an empty replica at revision zero.
func NewReplica() *Replica {
	return &Replica{entries: make(map[string]entry), listed: make(map[string]store.Revision)}
}

// Revision returns the revision of the store up to which the replica is complete, except for omitted values.
func (r *Replica) Revision() store.Revision { return r.revision }

// Merge applies the changes between two revisions of another replica, and returns those that were new. The replica's
// revision rises only if the replica was complete up to since; otherwise changes before since are still missing. Changes since zero
// do not tell which keys have been removed, so they complete only a replica that has no others.
func (r *Replica) Merge(list []store.Change, since, upTo store.Revision) []store.Change {
	if r.revision < since || since == 0 && r.hasOthers(list, upTo) {
		upTo = r.revision
	}
	if since == 0 && upTo > r.revision {
		r.removalsAfter = max(r.removalsAfter, upTo)
	}
	return r.Apply(list, upTo)
}

// hasOthers reports whether the replica has a key that was written up to a revision and of which the changes do not tell what became.
func (r *Replica) hasOthers(list []store.Change, upTo store.Revision) bool {
	present := make(map[string]bool, len(list))
	for _, c := range list {
		present[c.Key] = c.Modified >= r.entries[c.Key].modified
	}
	return len(r.missing("", present, upTo)) > 0
}

// Apply applies changes that complete the replica up to a revision, and returns those that were new and whose values are
// known. Changes of an earlier era than the latest known one are ignored: what still exists of them is listed in that one. A change that
// is new to a replica although it is complete beyond it tells of a key that has been removed since.
func (r *Replica) Apply(list []store.Change, upTo store.Revision) []store.Change {
	current := make([]store.Change, 0, len(list))
	for _, c := range list {
		old, known := r.entries[c.Key]
		if at := r.completeTo(c.Key); !c.Removed && c.Modified <= at && (!known || c.Modified > old.modified) {
			c = store.Change{Item: store.Item{Key: c.Key, Modified: at}, Removed: true}
		}
		current = append(current, c)
	}
	return r.apply(current, upTo)
}

// completeTo returns the revision up to which the replica is complete for a key.
func (r *Replica) completeTo(key string) store.Revision {
	out := r.revision
	for prefix, at := range r.listed {
		if strings.HasPrefix(key, prefix) {
			out = max(out, at)
		}
	}
	return out
}

func (r *Replica) apply(list []store.Change, upTo store.Revision) []store.Change {
	var applied []store.Change
	r.era = max(r.era, upTo.Era())
	for _, c := range list {
		if c.Modified.Era() < r.era {
			continue
		}
		r.era = c.Modified.Era()
		old, known := r.entries[c.Key]
		if known && !supersedes(c, old) {
			continue
		}
		r.set(c)
		if c.OmittedBytes == 0 && (!c.Removed || known && !old.removed) {
			applied = append(applied, c)
		}
	}
	r.revision = max(r.revision, upTo)
	return applied
}

// supersedes reports whether a change is newer than an entry, or adds its omitted value.
func supersedes(c store.Change, old entry) bool {
	return c.Modified > old.modified || c.Modified == old.modified && old.omitted > 0 && c.OmittedBytes == 0
}

// Reset applies a full listing of one prefix that was started at a revision, and returns the changes that were new, in the order of their
// revisions. Known keys that the listing lacks have been removed, unless they changed after that revision.
func (r *Replica) Reset(prefix string, items []store.Item, at store.Revision) []store.Change {
	r.era = max(r.era, at.Era())
	r.listed[prefix] = max(r.listed[prefix], at)
	present := make(map[string]bool, len(items))
	list := make([]store.Change, 0, len(items))
	for _, i := range items {
		present[i.Key] = true
		list = append(list, store.Change{Item: i})
	}
	slices.SortStableFunc(list, func(a, b store.Change) int { return cmp.Compare(a.Modified, b.Modified) })
	return r.apply(append(list, r.missing(prefix, present, at)...), r.revision)
}

// RemoveMissing removes the keys that a snapshot of another replica lacks, unless they changed after its revision, and
// returns the changes.
func (r *Replica) RemoveMissing(present map[string]bool, at store.Revision) []store.Change {
	r.removalsAfter = max(r.removalsAfter, at)
	return r.apply(r.missing("", present, at), at)
}

// missing returns the removals of the keys with the prefix that are not present in a listing at a revision.
func (r *Replica) missing(prefix string, present map[string]bool, at store.Revision) []store.Change {
	var out []store.Change
	for key, old := range r.entries {
		if strings.HasPrefix(key, prefix) && !present[key] && !old.removed && old.modified <= at {
			out = append(out, store.Change{Item: store.Item{Key: key, Modified: at}, Removed: true})
		}
	}
	return out
}

// MarkComplete records that all prefixes have been listed at a revision or later.
func (r *Replica) MarkComplete(at store.Revision) {
	r.revision = max(r.revision, at)
	r.removalsAfter = max(r.removalsAfter, at)
}

// Resolve adds the value of a key that was written at a revision, and returns the change unless the replica has a newer one.
func (r *Replica) Resolve(item store.Item) []store.Change {
	return r.apply([]store.Change{{Item: item}}, r.revision)
}

// Omitted returns the revision and the size of the value of a key if the replica knows of the value without having it.
func (r *Replica) Omitted(key string) (store.Revision, int, bool) {
	e := r.entries[key]
	return e.modified, e.omitted, e.omitted > 0
}

func (r *Replica) set(c store.Change) {
	if old, known := r.entries[c.Key]; known && old.removed {
		r.tombstones--
	}
	r.entries[c.Key] = entry{value: c.Value, modified: c.Modified, removed: c.Removed, omitted: c.OmittedBytes}
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
			r.removalsAfter = max(r.removalsAfter, e.modified)
		}
	}
}
