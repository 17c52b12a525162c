// Package platformtest has a small in-memory store for tests, with the faults of the platform's service.
//
// # Usage
//
//	s := platformtest.New()
//	s.LoseAnswers(1)
package platformtest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/platform"
)

var errFault = errors.New("injected")

// Store implements platform.Store in memory. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	index       uint64
	values      map[string]platform.Value
	outage      bool
	loseAnswers int
	beforeSwap  func(key string)
	writes      int
	reads       int
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{values: make(map[string]platform.Value)} }

// SetOutage makes every call fail without effect.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// LoseAnswers makes the next n swaps take effect and then fail.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// BeforeSwap calls f ahead of each swap, outside the lock, so that a test can let another writer be first.
func (s *Store) BeforeSwap(f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeSwap = f
}

// Calls returns the numbers of reads and writes so far.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func down() error { return fault.Wrap(fault.StoreUnavailable, errFault, "test") }

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, key string) (platform.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.outage {
		return platform.Value{}, down()
	}
	v := s.values[key]
	v.Body = slices.Clone(v.Body)
	return v, nil
}

// Watch implements platform.Store; it does not wait.
func (s *Store) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (platform.Value, error) {
	return s.Get(ctx, key)
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, body []byte, index uint64) (platform.Value, bool, error) {
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
		return platform.Value{}, false, down()
	}
	old := s.values[key]
	swapped := old.Index == index
	if swapped {
		s.index++
		s.values[key] = platform.Value{Body: slices.Clone(body), Index: s.index}
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return platform.Value{}, false, down()
	}
	if !swapped {
		return old, false, nil
	}
	return platform.Value{Index: s.index}, true, nil
}

// OpenSession implements platform.Store.
func (s *Store) OpenSession(context.Context, time.Duration) (platform.Session, error) {
	return "session", nil
}

// RenewSession implements platform.Store.
func (s *Store) RenewSession(context.Context, platform.Session) (bool, error) { return true, nil }

// Acquire implements platform.Store; every caller gets the key.
func (s *Store) Acquire(_ context.Context, key string, body []byte, session platform.Session) (platform.Value, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	v := platform.Value{Body: body, Index: s.index, Session: string(session)}
	s.values[key] = v
	return v, true, nil
}

// VMs implements platform.Store with an empty list.
func (s *Store) VMs(context.Context, uint64, time.Duration) (platform.VMList, error) {
	return platform.VMList{}, nil
}
