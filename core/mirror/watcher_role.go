package mirror

import (
	"cmp"
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
	// narrowDelay is how much longer a narrow router waits before it takes over the role, so that a wide one does.
	narrowDelay = 500 * time.Millisecond
	// forgetAfter is the age of an answer after which the router is forgotten.
	forgetAfter = 4 * maxAnswerAge
)

// StoreContact is when the store last answered a router.
type StoreContact struct {
	Router ids.VM
	At     time.Time
	// Narrow is set if the router's link or its share of a core is small, so that it should watch the store only if no other
	// router does.
	Narrow bool
}

// rank is the position of the router in the order that all routers share: narrow routers come last.
func (c StoreContact) rank() uint64 {
	hash := xxhash.Sum64String(string(c.Router)) >> 1
	if c.Narrow {
		return hash | 1<<63
	}
	return hash
}

// WatcherRole decides whether a router watches the store itself or relies on others, to save calls, which count against the
// store's limited rate. It is not safe for concurrent use.
type WatcherRole struct {
	self  StoreContact
	peers map[ids.VM]StoreContact
}

// NewWatcherRole returns the role of a router that knows no other router.
func NewWatcherRole(self ids.VM, narrow bool) *WatcherRole {
	return &WatcherRole{self: StoreContact{Router: self, Narrow: narrow}, peers: map[ids.VM]StoreContact{}}
}

// RecordPeer records when the store last answered another router, unless a later answer is known. The contact may have
// been reported by a third router.
func (w *WatcherRole) RecordPeer(c StoreContact) {
	if old, known := w.peers[c.Router]; c.Router == w.self.Router || known && !c.At.After(old.At) {
		return
	}
	w.peers[c.Router] = c
}

// RecordSelf records that the store has answered this router.
func (w *WatcherRole) RecordSelf(now time.Time) { w.self.At = now }

// LastContact returns when the store last answered this router or another one, as far as is known; the zero time means never.
func (w *WatcherRole) LastContact() time.Time {
	last := w.self.At
	for _, c := range w.peers {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// StoreReachable reports whether the store has recently answered this router or another one.
func (w *WatcherRole) StoreReachable(now time.Time) bool {
	if w.self.recent(now) {
		return true
	}
	for _, c := range w.peers {
		if c.recent(now) {
			return true
		}
	}
	return false
}

func (c StoreContact) recent(now time.Time) bool {
	return !c.At.IsZero() && now.Sub(c.At) <= maxAnswerAge
}

// RemovePeer removes a router that has stopped.
func (w *WatcherRole) RemovePeer(vm ids.VM) { delete(w.peers, vm) }

// Contacts returns the first routers of the common order that the store has recently answered, which are the watchers and
// their substitute. Each router reports them to the others, so that all know the watchers although each one sends updates to
// one router only now and then.
func (w *WatcherRole) Contacts(now time.Time) []StoreContact {
	var out []StoreContact
	for vm, c := range w.peers {
		if now.Sub(c.At) > forgetAfter {
			delete(w.peers, vm)
		} else if c.recent(now) {
			out = append(out, c)
		}
	}
	if w.self.recent(now) {
		out = append(out, w.self)
	}
	slices.SortFunc(out, func(a, b StoreContact) int { return cmp.Compare(a.rank(), b.rank()) })
	return out[:min(len(out), watcherCount+1)]
}

// SendsChangesTo returns a function that reports whether this router is the one watcher that sends the changes of the store to
// the given router.
func (w *WatcherRole) SendsChangesTo(now time.Time) func(vm ids.VM) bool {
	if !w.IsWatcher(now) {
		return func(ids.VM) bool { return false }
	}
	contacts := w.Contacts(now)
	if !w.self.recent(now) {
		// The store has not answered for a while, but what this router knows may still be newer than what others know.
		contacts = append(contacts, w.self)
	}
	return func(vm ids.VM) bool {
		watchers := slices.DeleteFunc(slices.Clone(contacts), func(c StoreContact) bool { return c.Router == vm })
		watchers = watchers[:min(len(watchers), watcherCount)]
		return watchers[xxhash.Sum64String(string(vm))%uint64(len(watchers))].Router == w.self.Router
	}
}

// IsWatcher reports whether this router must watch the store. It must if fewer than watcherCount routers that precede it in
// the common order have a recent answer of the store.
func (w *WatcherRole) IsWatcher(now time.Time) bool {
	maxAge := maxAnswerAge
	if w.self.Narrow {
		maxAge += narrowDelay
	}
	answered := 0
	for _, c := range w.peers {
		if !c.At.IsZero() && now.Sub(c.At) <= maxAge && c.rank() < w.self.rank() {
			answered++
		}
	}
	return answered < watcherCount
}
