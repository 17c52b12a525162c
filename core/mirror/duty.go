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

// Duty decides whether a router watches the store itself or relies on others, since each call of the store counts. It is not
// safe for concurrent use.
type Duty struct {
	self   uint64
	selfAt time.Time
	peers  map[ids.VM]time.Time
}

// NewDuty returns the duty of a router that has heard of no other.
func NewDuty(self ids.VM) *Duty { return &Duty{self: order(self), peers: map[ids.VM]time.Time{}} }

func order(vm ids.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// Heard notes when the store last answered another router.
func (d *Duty) Heard(vm ids.VM, at time.Time) { d.peers[vm] = at }

// HeardSelf notes that the store has answered this router.
func (d *Duty) HeardSelf(now time.Time) { d.selfAt = now }

// Served tells whether the store answers this router or another that is in touch.
func (d *Duty) Served(now time.Time) bool {
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

// Gone notes that another router has ended.
func (d *Duty) Gone(vm ids.VM) { delete(d.peers, vm) }

// Serves tells whether this router is the one of those on duty that sends a router the changes of the store.
func (d *Duty) Serves(vm ids.VM, now time.Time) bool {
	if !d.Watch(now) {
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

// Watch tells whether the router must watch the store: fewer than enough routers before it in the common order are served by
// the store.
func (d *Duty) Watch(now time.Time) bool {
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
