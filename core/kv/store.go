package kv

import (
	"context"
	"time"
)

// Store is the platform's key-value service. A write that returns a store_unavailable fault has an unknown outcome.
type Store interface {
	// Get returns the value of a key. A missing key has index zero.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the key's index exceeds the given one or the wait has passed, then returns the value.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error)
	// CompareAndSwap writes a value if the key has the given index; index zero creates the key. It returns the key's
	// value after the call, without the body if the write succeeded.
	CompareAndSwap(ctx context.Context, key string, body []byte, index uint64) (Value, bool, error)
	// OpenSession creates a lease that expires if it is not renewed within ttl.
	OpenSession(ctx context.Context, ttl time.Duration) (Session, error)
	// RenewSession extends a lease. It returns false if the lease has expired.
	RenewSession(ctx context.Context, s Session) (bool, error)
	// Acquire locks a key for a session and returns the key's value after the call. It returns false if another session
	// holds the key.
	Acquire(ctx context.Context, key string, body []byte, s Session) (Value, bool, error)
	// VMs returns the platform's list of VMs once its index exceeds the given one or the wait has passed. The list lags
	// behind the actual state.
	VMs(ctx context.Context, index uint64, wait time.Duration) (VMList, error)
}
