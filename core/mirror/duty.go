package mirror

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

const (
	// watcherCount is the number of routers that watch the store on behalf of all. Two of them may fail at once without a
	// gap in the updates.
	watcherCount = 3
	// maxAnswerAge is the age of the store's last answer beyond which a router no longer counts as a watcher. Together with the
	// duration of one watch it stays within the two seconds in which a change must become active.
	maxAnswerAge = 1200 * time.Millisecond
)

// Duty decides whether a router watches the store itself or relies on others, to save calls of the store, which are
// counted. It is not safe for concurrent use.
type Duty struct {
	selfRank       uint64
	selfAnsweredAt time.Time
	peerAnsweredAt map[ids.VM]time.Time
}

// NewDuty returns the role of a router that knows no other router.
func NewDuty(self ids.VM) *Duty {
	return &Duty{selfRank: rank(self), peerAnsweredAt: map[ids.VM]time.Time{}}
}

// rank is the position of a router in the order that all routers share.
func rank(vm ids.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// Heard records when the store last answered another router.
func (d *Duty) Heard(vm ids.VM, at time.Time) { d.peerAnsweredAt[vm] = at }

// HeardSelf records that the store has answered this router.
func (d *Duty) HeardSelf(now time.Time) { d.selfAnsweredAt = now }

// Served reports whether the store has recently answered this router or another one.
func (d *Duty) Served(now time.Time) bool {
	if !d.selfAnsweredAt.IsZero() && now.Sub(d.selfAnsweredAt) <= maxAnswerAge {
		return true
	}
	for _, at := range d.peerAnsweredAt {
		if now.Sub(at) <= maxAnswerAge {
			return true
		}
	}
	return false
}

// Gone removes a router that has stopped.
func (d *Duty) Gone(vm ids.VM) { delete(d.peerAnsweredAt, vm) }

// Serves reports whether this router is the one watcher that sends the changes of the store to the given router.
func (d *Duty) Serves(vm ids.VM, now time.Time) bool {
	if !d.Watch(now) {
		return false
	}
	watchers := []uint64{d.selfRank}
	for peer, at := range d.peerAnsweredAt {
		if now.Sub(at) <= maxAnswerAge && peer != vm {
			watchers = append(watchers, rank(peer))
		}
	}
	slices.Sort(watchers)
	watchers = watchers[:min(len(watchers), watcherCount)]
	return watchers[rank(vm)%uint64(len(watchers))] == d.selfRank
}

// Watch reports whether this router must watch the store. It must if fewer than watcherCount routers of lower rank have a
// recent answer of the store.
func (d *Duty) Watch(now time.Time) bool {
	served := 0
	for vm, at := range d.peerAnsweredAt {
		if now.Sub(at) > 4*maxAnswerAge {
			delete(d.peerAnsweredAt, vm)
			continue
		}
		if now.Sub(at) <= maxAnswerAge && rank(vm) < d.selfRank {
			served++
		}
	}
	return served < watcherCount
}
