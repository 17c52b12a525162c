// Package gossip exchanges state updates and the changes of the store with the other routers. The package dissemination
// decides what is sent to whom and when; this package sends it.
//
// # Usage
//
//	b := gossip.NewBroadcaster(gossip.Options{...})
//	b.SetListed("entry-2", "10.0.0.2:7200")
//	g.Go(b.Run)
//	g.Go(b.RunBulk)
//	b.RequestBroadcast() // the state has changed
package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

const (
	// sendTimeout bounds sending one update. A router that is short of processor time may take several hundred milliseconds.
	sendTimeout = time.Second
	// maxPromptRequests is the number of routers from which a starting router requests the engines that have prompts cached.
	// Few suffice, since each router knows almost all of them.
	maxPromptRequests = 2
)

// Options configure a Broadcaster.
type Options struct {
	dissemination.Options
	Dialer  *rpc.Dialer
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics *metric.Registry
	Group   *group.Group
	// LocalState returns the current state of this router; it is called once for the updates that are sent at the same time.
	LocalState func() *wire.News
	// HandleUpdate handles another router's state update.
	HandleUpdate func(n *wire.News)
	// Quarantine returns what this router knows of prompts that crash upstreams. MergeQuarantine merges what another router knows, before
	// the changes of the store that it sends: upstreams are used as soon as they are known.
	Quarantine      func() *wire.PromptQuarantine
	MergeQuarantine func(sender ids.VM, q *wire.PromptQuarantine)
	// CachedPrompts returns all prompts known to be cached, with their engines. MergeCachedPrompts merges those of another
	// router.
	CachedPrompts      func() []*wire.PromptHome
	MergeCachedPrompts func(list []*wire.PromptHome)
	// PromptsSince returns the prompts that this router has recorded after a position in their sequence, and the position of
	// the last one.
	PromptsSince func(position uint64) ([]*wire.PromptHome, uint64)
	// NewPrompts returns the prompts that this router has recorded last, for a router that has just appeared, and the position of the
	// last one.
	NewPrompts func() ([]*wire.PromptHome, uint64)
	// OnChanges is called with new changes of the store in order, from one goroutine at a time.
	OnChanges func(list []store.Change)
	// ReadValue reads the large value from the store.
	ReadValue func(ctx context.Context) (store.Item, error)
}

// Broadcaster exchanges state updates with all other routers. It is safe for concurrent use.
type Broadcaster struct {
	o Options
	// updatesDue and bulkDue wake the loops that send updates, and that pull and fetch.
	updatesDue chan struct{}
	bulkDue    chan struct{}
	// stateChanged is set if the router's own state has changed since the last look.
	stateChanged atomic.Bool

	mu   sync.Mutex
	node *dissemination.Node
	// unapplied holds the changes that are still to be passed to OnChanges, and applying is set while a goroutine does so.
	unapplied []store.Change
	applying  bool
	// valueLackedSince is since when this router knows of a newer large value than OnChanges has returned for; zero if it has
	// the newest known one.
	valueLackedSince time.Time
	// promptRequests counts the routers from which cached prompts were requested.
	promptRequests int
	// promptsSent is the position of the last recorded prompt that each router has received.
	promptsSent map[ids.VM]uint64
}

// NewBroadcaster returns a Broadcaster without peers.
func NewBroadcaster(o Options) *Broadcaster {
	return &Broadcaster{
		o: o, updatesDue: make(chan struct{}, 1), bulkDue: make(chan struct{}, 1), node: dissemination.New(o.Options),
		promptsSent: map[ids.VM]uint64{},
	}
}

// SetListed records the address of a router that the store lists. An empty address means that the store no longer lists it.
func (b *Broadcaster) SetListed(vm ids.VM, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node.SetListed(vm, address)
}

// Peers returns the addresses of the other routers that are present, or the seeds if there are none.
func (b *Broadcaster) Peers() map[ids.VM]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node.Peers(b.o.Clock.Now())
}

// LongestInterval returns the longest interval at which updates of one router arrive at this one while both answer.
func (b *Broadcaster) LongestInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node.LongestInterval()
}

// Behind returns how long this router has known of a newer large value than the last one that OnChanges has handled, or zero.
func (b *Broadcaster) Behind() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.valueLackedSince.IsZero() {
		return 0
	}
	return max(time.Nanosecond, b.o.Clock.Since(b.valueLackedSince))
}

// RequestBroadcast requests a broadcast soon. It does not block and takes no lock.
func (b *Broadcaster) RequestBroadcast() {
	if !b.stateChanged.Swap(true) {
		wake(b.updatesDue)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends updates until ctx is done.
func (b *Broadcaster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		updates, next := b.nextUpdates()
		if len(updates) > 0 {
			state := b.o.LocalState()
			for _, u := range updates {
				b.o.Group.Go(func(ctx context.Context) { b.send(ctx, u, state) })
			}
		}
		select {
		case <-ctx.Done():
		case <-b.updatesDue:
		case <-b.o.Clock.After(next.Sub(b.o.Clock.Now())):
		}
	}
}

func (b *Broadcaster) nextUpdates() ([]dissemination.Update, time.Time) {
	changed := b.stateChanged.Swap(false)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Clock.Now()
	if changed {
		b.node.StateChanged(now)
	}
	return b.node.Updates(now), b.node.NextUpdate()
}

// send sends one update and handles the reply.
func (b *Broadcaster) send(ctx context.Context, u dissemination.Update, state *wire.News) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	conn := b.o.Dialer.Conn(u.Address)
	defer func() { _ = conn.Close() }()
	message, position := b.message(u, state)
	reply, err := wire.NewDRPCNeighbourClient(conn).Tell(ctx, message)
	if err == nil && message.GetWantsHomes() {
		b.o.MergeQuarantine(ids.VM(reply.GetSender()), reply.GetQuarantine())
	}
	b.recordUpdate(u.To, message, reply, position, err)
	if err == nil && message.GetWantsHomes() {
		b.o.MergeCachedPrompts(reply.GetHomes())
	}
}

func (b *Broadcaster) recordUpdate(to ids.VM, message *wire.News, reply *wire.NewsReply, position uint64, err error) {
	b.mu.Lock()
	var status *dissemination.Status
	if err == nil {
		s := decodeStatus(reply.GetStatus())
		status = &s
		b.promptsSent[to] = position
	} else if message.GetWantsHomes() {
		b.promptRequests--
	}
	changed := b.node.UpdateDone(to, status, b.o.Clock.Now())
	b.mu.Unlock()
	wake(b.bulkDue)
	switch {
	case !changed:
	case err != nil:
		b.o.Log.Write(event.PeerChanged, "router", to, "state", "does not answer", "error", err.Error())
	default:
		b.o.Log.Write(event.PeerChanged, "router", to, "state", "answers again")
	}
}
