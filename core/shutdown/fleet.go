package shutdown

import (
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// servingTTL is how long a router counts as serving after its last state update, if PeerTTL is not longer; routers of a
	// small fleet send at least two a second.
	servingTTL = 1500 * time.Millisecond
	// RestartTime is the time from the end of a stopped router until callers reach it again: about 700 ms until its next
	// start, and up to a second until the load balancer has checked it.
	RestartTime = 1700 * time.Millisecond
	// minRetryDelay is the retry delay while another router is serving: the load balancer assigns the caller's new connection
	// to that router.
	minRetryDelay = 100 * time.Millisecond
	// returnTTL is how long after its announced return a stopped router is still expected.
	returnTTL = 3 * time.Second
)

// Fleet tracks which other routers are serving, and when those that stop will be back. It is not safe for concurrent use.
type Fleet struct {
	// PeerTTL is how long a router counts as serving. In a large fleet its state updates are rare.
	PeerTTL     time.Duration
	lastServing map[ids.VM]time.Time
	returnAt    map[ids.VM]time.Time
}

// NewFleet returns a Fleet without other routers.
func NewFleet() *Fleet {
	return &Fleet{lastServing: map[ids.VM]time.Time{}, returnAt: map[ids.VM]time.Time{}}
}

// RecordServing records a state update of a router that is serving.
func (f *Fleet) RecordServing(vm ids.VM, now time.Time) {
	f.lastServing[vm] = now
	delete(f.returnAt, vm)
	f.prune(now)
}

// prune forgets the routers that have not sent an update for a while.
func (f *Fleet) prune(now time.Time) {
	for vm, at := range f.lastServing {
		if now.Sub(at) > max(servingTTL, f.PeerTTL) {
			delete(f.lastServing, vm)
		}
	}
	for vm, at := range f.returnAt {
		if now.Sub(at) > returnTTL {
			delete(f.returnAt, vm)
		}
	}
}

// RecordStopping records a state update of a router that is stopping, with the time that its stop may still take.
func (f *Fleet) RecordStopping(vm ids.VM, left time.Duration, now time.Time) {
	delete(f.lastServing, vm)
	f.returnAt[vm] = now.Add(left + RestartTime)
}

// AnyServing reports whether another router is serving.
func (f *Fleet) AnyServing(now time.Time) bool {
	f.prune(now)
	return len(f.lastServing) > 0
}

// RetryAfter returns the delay after which a caller should retry a request that this router rejects because it is stopping.
// The parameter left is the time that remains of its stop.
func (f *Fleet) RetryAfter(left time.Duration, now time.Time) time.Duration {
	if f.AnyServing(now) {
		return minRetryDelay
	}
	first := left + RestartTime
	for _, at := range f.returnAt {
		first = min(first, at.Sub(now))
	}
	return max(first, minRetryDelay)
}
