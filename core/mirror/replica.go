// Package mirror keeps a local replica of the parts of the store that a router follows, and brings it up to date from the
// store or from other routers.
//
// Each key carries the revision of its last change, also after its removal, so that changes can arrive in any order and
// from any source: an older word about a key never replaces a newer one.
//
// # Usage
//
//	r := mirror.NewReplica()
//	changed := r.Apply(changes.List, changes.Revision)
//	delta := r.Since(peerRevision) // for a router that is behind
package mirror

import (
	"strings"

	"bilberrylug.dev/core/store"
)

// Layout names the keys and prefixes of the store that a router follows.
type Layout struct {
	// Config is the key of the configuration.
	Config string
	// Upstreams is the prefix of the upstreams' entries.
	Upstreams string
	// Routers is the prefix of the routers' own entries.
	Routers string
}

// maxRemoved bounds the removed keys that are remembered for routers that are behind.
const maxRemoved = 4096

type row struct {
	value    []byte
	modified store.Revision
	removed  bool
}

// Replica holds the items. It is not safe for concurrent use.
type Replica struct {
	rows     map[string]row
	removed  int
	revision store.Revision
}

// NewReplica returns an empty replica at revision zero.
func NewReplica() *Replica { return &Replica{rows: make(map[string]row)} }

// Revision returns the store's revision up to which the replica is complete.
func (r *Replica) Revision() store.Revision { return r.revision }

// Merge takes the changes between two revisions from another replica, and returns those that were news. They complete this
// replica only if it had reached the first revision.
func (r *Replica) Merge(list []store.Change, since, upTo store.Revision) []store.Change {
	if r.revision < since {
		upTo = r.revision
	}
	return r.Apply(list, upTo)
}

// Apply takes changes that complete the replica up to a revision, and returns those that were news.
func (r *Replica) Apply(list []store.Change, upTo store.Revision) []store.Change {
	var news []store.Change
	for _, c := range list {
		old, known := r.rows[c.Key]
		if known && old.modified >= c.Modified {
			continue
		}
		r.set(c)
		if !c.Removed || known && !old.removed {
			news = append(news, c)
		}
	}
	r.revision = max(r.revision, upTo)
	return news
}

// Reset takes a whole listing of one prefix that was begun at a revision; known keys that it lacks were removed.
func (r *Replica) Reset(prefix string, items []store.Item, at store.Revision) []store.Change {
	present := make(map[string]bool, len(items))
	list := make([]store.Change, 0, len(items))
	for _, i := range items {
		present[i.Key] = true
		list = append(list, store.Change{Item: i})
	}
	for key, old := range r.rows {
		if strings.HasPrefix(key, prefix) && !present[key] && !old.removed && old.modified <= at {
			list = append(list, store.Change{Item: store.Item{Key: key, Modified: at}, Removed: true})
		}
	}
	return r.Apply(list, r.revision)
}

// MarkComplete notes that all prefixes were listed at a revision or later.
func (r *Replica) MarkComplete(at store.Revision) { r.revision = max(r.revision, at) }

// ChangesSince returns the changes behind a revision, for a router that has reached it.
func (r *Replica) ChangesSince(since store.Revision) []store.Change {
	var out []store.Change
	for key, known := range r.rows {
		if known.modified > since {
			out = append(out, store.Change{Item: store.Item{Key: key, Value: known.value, Modified: known.modified}, Removed: known.removed})
		}
	}
	return out
}

func (r *Replica) set(c store.Change) {
	if old, known := r.rows[c.Key]; known && old.removed {
		r.removed--
	}
	r.rows[c.Key] = row{value: c.Value, modified: c.Modified, removed: c.Removed}
	if !c.Removed {
		return
	}
	r.removed++
	if r.removed > maxRemoved {
		r.forgetRemoved()
	}
}

// forgetRemoved drops the older half of the remembered removals.
func (r *Replica) forgetRemoved() {
	var oldest, newest store.Revision
	for _, known := range r.rows {
		if known.removed && (oldest == 0 || known.modified < oldest) {
			oldest = known.modified
		}
		newest = max(newest, known.modified)
	}
	middle := oldest + (newest-oldest)/2
	for key, known := range r.rows {
		if known.removed && known.modified <= middle {
			delete(r.rows, key)
			r.removed--
		}
	}
}
