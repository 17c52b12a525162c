// Package kvtest provides an in-memory store for tests that can inject the faults of the platform's service.
//
// # Usage
//
//	s := kvtest.New()
//	s.LoseAnswers(1)
package kvtest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/kv"
)

var errInjected = errors.New("injected")

// Store implements kv.Store in memory. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	index       uint64
	values      map[string]kv.Value
	outage      bool
	loseAnswers int
	beforeSwap  func(key string)
	writes      int
	reads       int
}

var _ kv.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{values: make(map[string]kv.Value)} }

// SetOutage makes reads and swaps fail without effect while on is set.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// LoseAnswers makes the next n swaps take effect and then return an error, as if their replies were lost.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// BeforeSwap makes the store call f before each swap, without the lock, so that a test can let another writer write
// first.
func (s *Store) BeforeSwap(f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeSwap = f
}

// Calls returns the number of reads and of writes so far.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func unavailable() error { return fault.Wrap(fault.StoreUnavailable, errInjected, "test") }

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.outage {
		return kv.Value{}, unavailable()
	}
	v := s.values[key]
	v.Body = slices.Clone(v.Body)
	return v, nil
}

// Watch implements kv.Store. It returns at once.
func (s *Store) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (kv.Value, error) {
	return s.Get(ctx, key)
}

// CompareAndSwap implements kv.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, body []byte, index uint64) (kv.Value, bool, error) {
	s.mu.Lock()
	hook := s.beforeSwap
	s.mu.Unlock()
	if hook != nil {
		hook(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.outage {
		return kv.Value{}, false, unavailable()
	}
	old := s.values[key]
	swapped := old.Index == index
	if swapped {
		s.index++
		s.values[key] = kv.Value{Body: slices.Clone(body), Index: s.index}
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return kv.Value{}, false, unavailable()
	}
	if !swapped {
		return old, false, nil
	}
	return kv.Value{Index: s.index}, true, nil
}

// OpenSession implements kv.Store.
func (s *Store) OpenSession(context.Context, time.Duration) (kv.Session, error) {
	return "session", nil
}

// RenewSession implements kv.Store.
func (s *Store) RenewSession(context.Context, kv.Session) (bool, error) { return true, nil }

// Acquire implements kv.Store. It always succeeds.
func (s *Store) Acquire(_ context.Context, key string, body []byte, session kv.Session) (kv.Value, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	v := kv.Value{Body: body, Index: s.index, Session: string(session)}
	s.values[key] = v
	return v, true, nil
}

// VMs implements kv.Store with an empty list.
func (s *Store) VMs(context.Context, uint64, time.Duration) (kv.VMList, error) {
	return kv.VMList{}, nil
}
