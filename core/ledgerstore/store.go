// Package ledgerstore keeps the buckets of the at-most-once ledger in the platform's service. Agents use it to record
// intents and replies, routers to cancel calls that they forwarded.
//
// Changes to a bucket that arrive while a write of it is in flight are batched into the next write, so the number of
// writes grows with the number of buckets and not with the number of calls.
//
// # Usage
//
//	s := ledgerstore.New(kvStore, clock, log, group)
//	decision, err := s.Begin(ctx, bucket, limits, start)
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

// Store reads and writes ledger buckets in the platform's service. It is safe for concurrent use.
type Store struct {
	kv    kv.Store
	clock clockwork.Clock
	log   *event.Log
	group *group.Group

	mu      sync.Mutex
	writers map[string]*writer
}

// New returns a store that keeps its buckets in kvStore. Its goroutines run in g.
func New(kvStore kv.Store, clock clockwork.Clock, log *event.Log, g *group.Group) *Store {
	return &Store{kv: kvStore, clock: clock, log: log, group: g, writers: make(map[string]*writer)}
}

func (s *Store) writerFor(bucket string) *writer {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.writers[bucket]
	if !known {
		w = &writer{store: s, key: bucket, wake: make(chan struct{}, 1)}
		s.writers[bucket] = w
		s.group.Go(w.run)
	}
	return w
}

// Begin adds the intent of a call. A fault of kind ledger_unavailable means that the intent is not valid: if it was written
// nevertheless, it is withdrawn once the service responds again.
func (s *Store) Begin(ctx context.Context, bucket string, limits ledger.Limits, start ledger.Start) (ledger.Decision, error) {
	w := s.writerFor(bucket)
	var decision ledger.Decision
	err := w.do(ctx, func(bucket *ledger.Bucket) bool {
		if e, known := bucket.Entries[start.Key]; known && e.Call == start.Call && e.State == ledger.Intent {
			decision = ledger.Decision{Verdict: ledger.Proceed, Entry: e}
			return false
		}
		decision = bucket.Begin(s.clock.Now(), limits, start)
		return decision.Verdict == ledger.Proceed
	})
	if err != nil {
		s.Withdraw(bucket, start.Key, start.Call)
		return decision, fault.Wrap(fault.LedgerUnavailable, err, "recording the intent")
	}
	return decision, nil
}

// Finish records a reply. It retries until the service responds or the process stops, and then sends the result to the
// returned channel.
func (s *Store) Finish(bucket string, key ledger.Key, call ids.Call, r ledger.Reply) <-chan error {
	return s.writerFor(bucket).submit(s.group.Context(), func(bucket *ledger.Bucket) bool { return bucket.Finish(key, call, r) })
}

// Withdraw cancels an intent that will not be sent. It retries until the service responds or the process stops.
func (s *Store) Withdraw(bucket string, key ledger.Key, call ids.Call) {
	s.writerFor(bucket).submit(s.group.Context(), func(bucket *ledger.Bucket) bool { return bucket.Withdraw(key, call) })
}

// Cancel prevents a forwarded call from being sent. It returns the entry of the key and whether the call is cancelled.
func (s *Store) Cancel(ctx context.Context, bucket string, start ledger.Start) (ledger.Entry, bool, error) {
	var entry ledger.Entry
	var cancelled bool
	err := s.writerFor(bucket).do(ctx, func(bucket *ledger.Bucket) bool {
		entry, cancelled = bucket.Entries[start.Key], false
		if isCancelled(entry, start.Call) {
			cancelled = true
			return false
		}
		entry, cancelled = bucket.Cancel(s.clock.Now(), start)
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

// Read reads the entry of a key from the service.
func (s *Store) Read(ctx context.Context, bucket string, key ledger.Key) (ledger.Entry, bool, error) {
	v, err := s.kv.Get(ctx, bucket)
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

// Cached returns the entry of a key as this process last saw it. The bucket is read from the service only if it is not
// cached.
func (s *Store) Cached(ctx context.Context, bucket string, key ledger.Key) (ledger.Entry, bool, error) {
	var entry ledger.Entry
	var known bool
	err := s.writerFor(bucket).do(ctx, func(bucket *ledger.Bucket) bool {
		entry, known = bucket.Entries[key]
		return false
	})
	return entry, known, err
}
