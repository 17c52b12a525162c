package kv

import (
	"context"
	"time"
)

// Store is the key-value service as the rest of the system sees it. An error of kind store_unavailable from a write
// means that its outcome is unknown.
type Store interface {
	// Get reads a value. A missing key has index zero.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the key's index is above the given one, or until the wait ends, and reads the value.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error)
	// CompareAndSwap writes a value if the key's index is the given one; index zero creates the key. It returns the
	// key's state after the call, the body being left out after a success.
	CompareAndSwap(ctx context.Context, key string, body []byte, index uint64) (Value, bool, error)
	// OpenSession creates a lease that lapses when it is not renewed within ttl.
	OpenSession(ctx context.Context, ttl time.Duration) (Session, error)
	// RenewSession extends a lease; false means that it has lapsed.
	RenewSession(ctx context.Context, s Session) (bool, error)
	// Acquire takes a key for a session, and tells the index of the key after it. It fails if another session holds it.
	Acquire(ctx context.Context, key string, body []byte, s Session) (Value, bool, error)
	// VMs lists the VMs as the platform knows them, late.
	VMs(ctx context.Context, index uint64, wait time.Duration) (VMList, error)
}
