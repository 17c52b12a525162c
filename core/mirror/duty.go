package mirror

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

const (
	// watchers is the number of routers that watch the store for all. Two may be lost at once without a gap.
	watchers = 3
	// freshTime is how long ago the store may have answered a router that others rely on. Together with one watch it stays
	// within the two seconds in which a change must be in force.
	freshTime = 1200 * time.Millisecond
)

// WatcherRole decides whether a router watches the store itself or relies on others, since each call of the store counts. It is not
// safe for concurrent use.
type WatcherRole struct {
	self   uint64
	selfAt time.Time
	peers  map[ids.VM]time.Time
}

// NewWatcherRole returns the duty of a router that has heard of no other.
func NewWatcherRole(self ids.VM) *WatcherRole {
	return &WatcherRole{self: order(self), peers: map[ids.VM]time.Time{}}
}

func order(vm ids.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// RecordPeer notes when the store last answered another router.
func (d *WatcherRole) RecordPeer(vm ids.VM, at time.Time) { d.peers[vm] = at }

// RecordSelf notes that the store has answered this router.
func (d *WatcherRole) RecordSelf(now time.Time) { d.selfAt = now }

// StoreReachable tells whether the store answers this router or another that is in touch.
func (d *WatcherRole) StoreReachable(now time.Time) bool {
	if !d.selfAt.IsZero() && now.Sub(d.selfAt) <= freshTime {
		return true
	}
	for _, at := range d.peers {
		if now.Sub(at) <= freshTime {
			return true
		}
	}
	return false
}

// RemovePeer notes that another router has ended.
func (d *WatcherRole) RemovePeer(vm ids.VM) { delete(d.peers, vm) }

// SendsChangesTo tells whether this router is the one of those on duty that sends a router the changes of the store.
func (d *WatcherRole) SendsChangesTo(vm ids.VM, now time.Time) bool {
	if !d.IsWatcher(now) {
		return false
	}
	onDuty := []uint64{d.self}
	for peer, at := range d.peers {
		if now.Sub(at) <= freshTime && peer != vm {
			onDuty = append(onDuty, order(peer))
		}
	}
	slices.Sort(onDuty)
	onDuty = onDuty[:min(len(onDuty), watchers)]
	return onDuty[order(vm)%uint64(len(onDuty))] == d.self
}

// IsWatcher tells whether the router must watch the store: fewer than enough routers before it in the common order are served by
// the store.
func (d *WatcherRole) IsWatcher(now time.Time) bool {
	served := 0
	for vm, at := range d.peers {
		if now.Sub(at) > 4*freshTime {
			delete(d.peers, vm)
			continue
		}
		if now.Sub(at) <= freshTime && order(vm) < d.self {
			served++
		}
	}
	return served < watchers
}
