// Package store defines the interface to the linearizable key-value service that holds all persistent state.
//
// # Usage
//
//	page, err := s.Range(ctx, "config/", "")
//	changes, err := s.Watch(ctx, "config/", page.Revision, 20*time.Second)
//	if errors.Is(err, store.ErrCompacted) { /* list again */ }
package store

import (
	"context"
	"time"
)

// Lease identifies a lease. Keys bound to it are removed when it ends. The zero value means no lease.
type Lease struct {
	ID uint64
	// Era is the era in which the lease was granted. In a later one the lease may be gone, and its ID may be another's.
	Era Era
}

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Modified is the revision of the last change of the key.
	Modified Revision
}

// Page is a part of a listing. It is not a snapshot: later pages may show later states.
type Page struct {
	Items []Item
	// More reports that further items follow the last one.
	More bool
	// Revision is the store's revision when the page was read.
	Revision Revision
}

// Change is an item that was written, or whose key was removed.
type Change struct {
	Item
	Removed bool
	// OmittedBytes is the size of a value that another router has left out because it is large. It is zero if Value is
	// complete.
	OmittedBytes int
}

// Changes is the result of a watch. The next watch continues after Revision.
type Changes struct {
	List     []Change
	Revision Revision
}

// Store is a client of the key-value service. All methods are safe for concurrent use.
type Store interface {
	// Range lists the items whose keys begin with prefix and sort after the given key; an empty key lists from the first one.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits until a key under prefix has changed since a revision, or the wait is over. It returns ErrCompacted if the
	// store has already dropped these changes.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error)
	// Grant opens a lease with the requested time to live, and returns it with the time to live that was granted.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// KeepAlive renews a lease, and returns the era in which the store did so. It returns ErrLeaseEnded if the lease has ended.
	KeepAlive(ctx context.Context, l Lease) (Era, error)
	// Revoke ends a lease.
	Revoke(ctx context.Context, l Lease) error
	// Put writes a key unconditionally and binds it to a lease.
	Put(ctx context.Context, key string, value []byte, l Lease) error
	// Commit applies all writes of a transaction, or none, and returns the revision of the writes. It returns ErrConflict if an expected
	// key has changed, and ErrLeaseEnded if a lease has ended. After any other error the transaction may have taken effect, or may do so
	// later if its conditions still hold.
	Commit(ctx context.Context, t Txn) (Revision, error)
}

// Txn is a set of writes that take effect together, and only if none of the expected keys has changed.
type Txn struct {
	Expect []Expected
	Puts   []Put
	// Remove holds the keys that are removed.
	Remove []string
}

// Expected is the revision at which a key was last changed. Zero means that the key does not exist.
type Expected struct {
	Key      string
	Modified Revision
}

// Put is a write of a key, bound to a lease unless that is zero.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}
