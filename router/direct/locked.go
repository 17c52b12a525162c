package direct

import "sync"

// locked calls f while it holds a lock, and releases the lock even if f panics: an unexpected error in one request must not
// block all others.
func locked[T any](mu *sync.Mutex, f func() T) T {
	mu.Lock()
	defer mu.Unlock()
	return f()
}
