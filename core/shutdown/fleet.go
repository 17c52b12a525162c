package shutdown

import (
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// heardLife is how long a router counts as serving after its last word; routers tell something twice a second.
	heardLife = 1500 * time.Millisecond
	// RestartTime is how long it takes from the end of a stopped router until callers reach it again: some 700 ms to its next
	// start, and up to a second until the balancer has asked it.
	RestartTime = 1700 * time.Millisecond
	// atOnce is when a caller comes back while another router serves: on a new connection, which the balancer gives to it.
	atOnce = 100 * time.Millisecond
	// backLife is how long past its announced return a stopped router is still expected.
	backLife = 3 * time.Second
)

// Fleet knows which other routers serve, and when those that stop are back. It is not safe for concurrent use.
type Fleet struct {
	serving map[ids.VM]time.Time
	back    map[ids.VM]time.Time
}

// NewFleet returns a fleet without other routers.
func NewFleet() *Fleet { return &Fleet{serving: map[ids.VM]time.Time{}, back: map[ids.VM]time.Time{}} }

// RecordServing notes the word of a router that serves.
func (f *Fleet) RecordServing(vm ids.VM, now time.Time) {
	f.serving[vm] = now
	delete(f.back, vm)
}

// RecordStopping notes the word of a router that stops, with the time that its stop may still take.
func (f *Fleet) RecordStopping(vm ids.VM, left time.Duration, now time.Time) {
	delete(f.serving, vm)
	f.back[vm] = now.Add(left + RestartTime)
}

// AnyServing tells whether another router serves.
func (f *Fleet) AnyServing(now time.Time) bool {
	for vm, at := range f.serving {
		if now.Sub(at) <= heardLife {
			return true
		}
		delete(f.serving, vm)
	}
	return false
}

// RetryAfter returns when a caller is best back that this router refuses because it stops, with the given time left of its stop.
func (f *Fleet) RetryAfter(left time.Duration, now time.Time) time.Duration {
	if f.AnyServing(now) {
		return atOnce
	}
	first := left + RestartTime
	for vm, at := range f.back {
		if now.Sub(at) > backLife {
			delete(f.back, vm)
			continue
		}
		first = min(first, at.Sub(now))
	}
	return max(first, atOnce)
}
