// Package book keeps the buckets of the at-most-once ledger in the platform's service.
//
// All changes to one bucket that wait while a write is on its way go into the next write together, so the writes grow
// with the number of buckets and not with the calls. Agents record intents and replies
// through it, routers cancel their own forwardings.
//
// # Usage
//
//	b := book.New(store, clock, log, group)
//	decision, err := b.Begin(ctx, bucket, limits, start)
package ledgerstore

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/ledger"
)

// Store writes the buckets. It is safe for concurrent use.
type Store struct {
	store kv.Store
	clock clockwork.Clock
	log   *event.Log
	group *group.Group

	mu      sync.Mutex
	writers map[string]*writer
}

// New returns a book.
func New(store kv.Store, clock clockwork.Clock, log *event.Log, g *group.Group) *Store {
	return &Store{store: store, clock: clock, log: log, group: g, writers: make(map[string]*writer)}
}

func (b *Store) writer(bucket string) *writer {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, known := b.writers[bucket]
	if !known {
		w = &writer{book: b, key: bucket, wake: make(chan struct{}, 1)}
		b.writers[bucket] = w
		b.group.Go(w.run)
	}
	return w
}

// Begin adds an intent. A fault of kind ledger_unavailable means that the intent does not count: if its write took
// effect all the same, it is withdrawn when the service answers again.
func (b *Store) Begin(ctx context.Context, bucket string, limits ledger.Limits, s ledger.Start) (ledger.Decision, error) {
	w := b.writer(bucket)
	var decision ledger.Decision
	err := w.do(ctx, func(bucket *ledger.Bucket) bool {
		if e, known := bucket.Entries[s.Key]; known && e.Call == s.Call && e.State == ledger.Intent {
			decision = ledger.Decision{Verdict: ledger.Proceed, Entry: e}
			return false
		}
		decision = bucket.Begin(b.clock.Now(), limits, s)
		return decision.Verdict == ledger.Proceed
	})
	if err != nil {
		b.Withdraw(bucket, s.Key, s.Call)
		return decision, fault.Wrap(fault.LedgerUnavailable, err, "recording the intent")
	}
	return decision, nil
}

// Finish records a reply, trying until the service answers or the process stops.
func (b *Store) Finish(bucket string, key ledger.Key, call ids.Call, r ledger.Reply) <-chan error {
	return b.writer(bucket).submit(b.group.Context(), func(bucket *ledger.Bucket) bool { return bucket.Finish(key, call, r) })
}

// Withdraw ends an intent that will not be sent, trying until the service answers or the process stops.
func (b *Store) Withdraw(bucket string, key ledger.Key, call ids.Call) {
	b.writer(bucket).submit(b.group.Context(), func(bucket *ledger.Bucket) bool { return bucket.Withdraw(key, call) })
}

// Cancel forbids a forwarding. It returns the standing entry and whether the cancellation is in force.
func (b *Store) Cancel(ctx context.Context, bucket string, s ledger.Start) (ledger.Entry, bool, error) {
	var entry ledger.Entry
	var cancelled bool
	err := b.writer(bucket).do(ctx, func(bucket *ledger.Bucket) bool {
		entry, cancelled = bucket.Entries[s.Key], false
		if isCancelled(entry, s.Call) {
			cancelled = true
			return false
		}
		entry, cancelled = bucket.Cancel(b.clock.Now(), s)
		return cancelled
	})
	return entry, cancelled, err
}

func isCancelled(e ledger.Entry, call ids.Call) bool {
	for _, c := range e.Cancelled {
		if c == call {
			return true
		}
	}
	return false
}

// Read returns the standing entry of a key as the service has it now.
func (b *Store) Read(ctx context.Context, bucket string, key ledger.Key) (ledger.Entry, bool, error) {
	v, err := b.store.Get(ctx, bucket)
	if err != nil {
		return ledger.Entry{}, false, err
	}
	decoded, err := ledger.Decode(v.Body)
	if err != nil {
		return ledger.Entry{}, false, err
	}
	e, known := decoded.Entries[key]
	return e, known, nil
}

// Cached returns the entry of a key as this process last saw it, without a call on the service when the bucket is cached.
func (b *Store) Cached(ctx context.Context, bucket string, key ledger.Key) (ledger.Entry, bool, error) {
	var entry ledger.Entry
	var known bool
	err := b.writer(bucket).do(ctx, func(bucket *ledger.Bucket) bool {
		entry, known = bucket.Entries[key]
		return false
	})
	return entry, known, err
}
