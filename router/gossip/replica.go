package gossip

import (
	"time"

	"bilberrylug.dev/core/store"
)

// Revision returns the revision of the store up to which this router's replica is complete, except for large values.
func (b *Broadcaster) Revision() store.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node.Revision()
}

// Apply applies changes that the store has returned.
func (b *Broadcaster) Apply(list []store.Change, upTo store.Revision) {
	b.merge(func(time.Time) []store.Change { return b.node.Apply(list, upTo) })
}

// Reset applies a full listing of one prefix of the store.
func (b *Broadcaster) Reset(prefix string, items []store.Item, at store.Revision) {
	b.merge(func(time.Time) []store.Change { return b.node.Reset(prefix, items, at) })
}

// MarkComplete records that all prefixes of the store have been listed at a revision or later.
func (b *Broadcaster) MarkComplete(at store.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node.MarkComplete(at)
}

// merge changes the replica and passes the changes that were new to OnChanges. If another goroutine is already doing so, that
// one passes them on, so that their order is kept without waiting.
func (b *Broadcaster) merge(change func(now time.Time) []store.Change) {
	b.mu.Lock()
	now := b.o.Clock.Now()
	applied := change(now)
	b.unapplied = append(b.unapplied, applied...)
	if b.valueLackedSince.IsZero() && b.node.LacksValue() {
		b.valueLackedSince = now
	}
	if b.applying {
		b.mu.Unlock()
		return
	}
	b.applying = true
	for len(b.unapplied) > 0 {
		list := b.unapplied
		b.unapplied = nil
		b.mu.Unlock()
		b.o.OnChanges(list)
		b.mu.Lock()
	}
	b.applying = false
	if !b.node.LacksValue() {
		b.valueLackedSince = time.Time{}
	}
	b.mu.Unlock()
	if len(applied) > 0 {
		wake(b.updatesDue)
		wake(b.bulkDue)
	}
}
