package direct

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"bilberrylug.dev/core/store"
)

// memoryStore is a store in memory without time: leases end only by Revoke.
type memoryStore struct {
	store.Store
	revision store.Revision
	items    map[string]store.Item
	leases   map[string]uint64
	granted  uint64
	ended    map[uint64]bool
	calls    int
	// loseAnswers is the number of transactions that take effect and then fail, away makes all calls fail.
	loseAnswers int
	away        bool
}

var errAway = errors.New("the store is away")

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, items: map[string]store.Item{}, leases: map[string]uint64{}, ended: map[uint64]bool{}}
}

func (m *memoryStore) call() error {
	m.calls++
	if m.away {
		return errAway
	}
	return nil
}

func (m *memoryStore) put(key, value string, lease uint64) {
	m.revision++
	m.items[key] = store.Item{Key: key, Value: []byte(value), Modified: m.revision}
	m.leases[key] = lease
}

func (m *memoryStore) Range(_ context.Context, prefix, after string) (store.Page, error) {
	out := store.Page{Revision: m.revision}
	for key, i := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, i)
		}
	}
	slices.SortFunc(out.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, m.call()
}

func (m *memoryStore) Grant(context.Context, time.Duration) (store.Lease, time.Duration, error) {
	m.granted++
	return store.Lease{ID: m.granted}, time.Second, m.call()
}

func (m *memoryStore) KeepAlive(_ context.Context, l store.Lease) (store.Era, error) {
	if m.ended[l.ID] {
		return 0, store.ErrLeaseEnded
	}
	return 0, m.call()
}

func (m *memoryStore) Revoke(_ context.Context, l store.Lease) error {
	m.ended[l.ID] = true
	for key, lease := range m.leases {
		if lease == l.ID && lease != 0 {
			delete(m.items, key)
			delete(m.leases, key)
			m.revision++
		}
	}
	return m.call()
}

func (m *memoryStore) Commit(_ context.Context, t store.Txn) (store.Revision, error) {
	if err := m.call(); err != nil {
		return 0, err
	}
	for _, e := range t.Expect {
		if m.items[e.Key].Modified != e.Modified {
			return 0, store.ErrConflict
		}
	}
	for _, p := range t.Puts {
		if m.ended[p.Lease.ID] {
			return 0, store.ErrLeaseEnded
		}
		m.put(p.Key, string(p.Value), p.Lease.ID)
	}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, errAway
	}
	return m.revision, nil
}
