package mirror

import (
	"cmp"
	"slices"

	"bilberrylug.dev/core/store"
)

const (
	// MaxInlineBytes is the size up to which a value is part of the changes that routers exchange. Larger values are fetched
	// by the routers that need them.
	MaxInlineBytes = 4 << 10
	// changeOverhead is added to the size of each change's key and value for its other fields.
	changeOverhead = 24
)

// Delta holds the changes of a replica after a revision, in the order of their revisions.
type Delta struct {
	List []store.Change
	// Since is the revision that the receiver must have reached, UpTo the revision up to which it is then complete.
	Since store.Revision
	UpTo  store.Revision
	// More is set if further changes follow.
	More bool
	// Snapshot is set if the replica does not know all keys that were removed after Since: this delta and those that follow
	// it together hold all keys that exist.
	Snapshot bool
}

// Delta returns the changes after a revision, without large values. It ends after maxBytes, but not between changes of the
// same revision. If the replica does not know all keys that were removed after the revision, it returns the first part of
// a snapshot, and also if the revision is of an earlier era: the receiver may have keys that this replica has never known.
func (r *Replica) Delta(since store.Revision, maxBytes int) Delta {
	if since > 0 && (since < r.removalsAfter || since.Era() < r.revision.Era()) {
		return r.Snapshot(0, maxBytes)
	}
	return r.page(since, maxBytes)
}

// Partial returns the changes after a revision for a router that may lack removals that this replica does not know either. They complete
// that router only if it is complete up to Since.
func (r *Replica) Partial(since store.Revision, maxBytes int) Delta {
	d := r.page(since, maxBytes)
	d.Since = max(since, min(r.removalsAfter, d.UpTo))
	return d
}

// Snapshot returns the part of a snapshot that follows the changes up to a revision.
func (r *Replica) Snapshot(after store.Revision, maxBytes int) Delta {
	d := r.page(after, maxBytes)
	d.Snapshot = true
	return d
}

func (r *Replica) page(since store.Revision, maxBytes int) Delta {
	d := Delta{Since: since, UpTo: r.revision}
	list := r.ChangesSince(since)
	slices.SortFunc(list, func(a, b store.Change) int {
		return cmp.Or(cmp.Compare(a.Modified, b.Modified), cmp.Compare(a.Key, b.Key))
	})
	size := 0
	for i, c := range list {
		if size > maxBytes && c.Modified > list[i-1].Modified {
			// Changes after the replica's own revision have gaps, so that leaving them out loses nothing.
			d.More = list[i-1].Modified < r.revision
			d.UpTo = min(list[i-1].Modified, r.revision)
			break
		}
		if len(c.Value) > MaxInlineBytes {
			c.OmittedBytes = len(c.Value)
			c.Value = nil
		}
		size += len(c.Key) + len(c.Value) + changeOverhead
		d.List = append(d.List, c)
	}
	return d
}

// ChangesSince returns the changes after a revision, for a router that is complete up to it.
func (r *Replica) ChangesSince(since store.Revision) []store.Change {
	var out []store.Change
	for key, e := range r.entries {
		if e.modified > since {
			out = append(out, store.Change{
				Item: store.Item{Key: key, Value: e.value, Modified: e.modified}, Removed: e.removed, OmittedBytes: e.omitted,
			})
		}
	}
	return out
}
