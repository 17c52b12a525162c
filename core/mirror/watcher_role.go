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

// WatcherRole decides whether a router watches the store itself or relies on others, to save calls, which count against the
// store's limited rate. It is not safe for concurrent use.
type WatcherRole struct {
	selfRank       uint64
	selfAnsweredAt time.Time
	peerAnsweredAt map[ids.VM]time.Time
}

// NewWatcherRole returns the role of a router that knows no other router.
func NewWatcherRole(self ids.VM) *WatcherRole {
	return &WatcherRole{selfRank: rank(self), peerAnsweredAt: map[ids.VM]time.Time{}}
}

// rank is the position of a router in the order that all routers share.
func rank(vm ids.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// RecordPeer records when the store last answered another router.
func (w *WatcherRole) RecordPeer(vm ids.VM, at time.Time) { w.peerAnsweredAt[vm] = at }

// RecordSelf records that the store has answered this router.
func (w *WatcherRole) RecordSelf(now time.Time) { w.selfAnsweredAt = now }

// StoreReachable reports whether the store has recently answered this router or another one.
func (w *WatcherRole) StoreReachable(now time.Time) bool {
	if !w.selfAnsweredAt.IsZero() && now.Sub(w.selfAnsweredAt) <= maxAnswerAge {
		return true
	}
	for _, at := range w.peerAnsweredAt {
		if now.Sub(at) <= maxAnswerAge {
			return true
		}
	}
	return false
}

// RemovePeer removes a router that has stopped.
func (w *WatcherRole) RemovePeer(vm ids.VM) { delete(w.peerAnsweredAt, vm) }

// SendsChangesTo reports whether this router is the one watcher that sends the changes of the store to the given router.
func (w *WatcherRole) SendsChangesTo(vm ids.VM, now time.Time) bool {
	if !w.IsWatcher(now) {
		return false
	}
	watchers := []uint64{w.selfRank}
	for peer, at := range w.peerAnsweredAt {
		if now.Sub(at) <= maxAnswerAge && peer != vm {
			watchers = append(watchers, rank(peer))
		}
	}
	slices.Sort(watchers)
	watchers = watchers[:min(len(watchers), watcherCount)]
	return watchers[rank(vm)%uint64(len(watchers))] == w.selfRank
}

// IsWatcher reports whether this router must watch the store. It must if fewer than watcherCount routers of lower rank have
// a recent answer of the store.
func (w *WatcherRole) IsWatcher(now time.Time) bool {
	answered := 0
	for vm, at := range w.peerAnsweredAt {
		if now.Sub(at) > 4*maxAnswerAge {
			delete(w.peerAnsweredAt, vm)
			continue
		}
		if now.Sub(at) <= maxAnswerAge && rank(vm) < w.selfRank {
			answered++
		}
	}
	return answered < watcherCount
}
