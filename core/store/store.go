// Package store is the interface to the linearizable key-value service in which everything lasting is kept.
//
// # Usage
//
//	page, err := s.Range(ctx, "config/", "")
//	changes, err := s.Watch(ctx, "config/", page.Revision, 20*time.Second)
//	if errors.Is(err, store.ErrCompacted) { /* list anew */ }
package store

import (
	"context"
	"time"
)

// Revision counts the changes of the store; it only grows. Zero is before the first change.
type Revision uint64

// Lease identifies a lease; keys that are bound to it are removed when it ends. Zero means none.
type Lease uint64

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
	// More tells that further items follow the last one.
	More bool
	// Revision is the store's revision when the page was read.
	Revision Revision
}

// Change is an item that was written, or whose key was removed.
type Change struct {
	Item
	Removed bool
}

// Changes is the answer of a watch; the next watch continues after Revision.
type Changes struct {
	List     []Change
	Revision Revision
}

// Store is one client of the service. All methods are safe for concurrent use.
type Store interface {
	// Range lists the items whose keys begin with prefix, from the first one behind after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits until something under prefix has changed since a revision, or the wait is over. ErrCompacted means
	// that these changes are no longer known.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (Changes, error)
	// Grant opens a lease of the given time to live and returns the time that applies.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// KeepAlive renews a lease. ErrLeaseEnded means that it is gone.
	KeepAlive(ctx context.Context, l Lease) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, l Lease) error
	// Put writes a key unconditionally under a lease.
	Put(ctx context.Context, key string, value []byte, l Lease) error
}
