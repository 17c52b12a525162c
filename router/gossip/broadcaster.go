// Package gossip broadcasts this router's state to the other routers, receives theirs, and exchanges the changes of the
// store that either side lacks.
//
// # Usage
//
//	b := gossip.NewBroadcaster(gossip.Options{...})
//	b.SetListed("entry-2", "10.0.0.2:7200")
//	g.Go(b.Run)
//	b.RequestBroadcast() // the state has changed
package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

const (
	// broadcastInterval is the pause between broadcasts, which batches updates. It is multiplied by 1 plus the number of peers
	// over peersPerInterval, so that the total load stays about the same for each router.
	broadcastInterval = 50 * time.Millisecond
	peersPerInterval  = 8
	// idleInterval is the longest time without an update, so that a router without access to the store still receives changes.
	idleInterval = 500 * time.Millisecond
	// sendTimeout bounds sending one update.
	sendTimeout = 400 * time.Millisecond
	// fallbackDelay is how long a router may lack changes before routers other than its assigned watcher send them.
	fallbackDelay = 700 * time.Millisecond
	// maxPromptRequests is the number of routers from which a starting router requests the engines that have prompts cached.
	// Few suffice, since each router knows almost all of them.
	maxPromptRequests = 2
	// peerTTL is how long a router that the store does not list counts as present after its last update.
	peerTTL = 3 * time.Second
)

// Options configure a Broadcaster.
type Options struct {
	Self ids.VM
	// Seeds are the addresses to which updates are sent while no other router is known.
	Seeds  []string
	Dialer *rpc.Dialer
	Clock  clockwork.Clock
	Log    *event.Log
	Group  *group.Group
	// LocalState returns the current state of this router; it is called once for each broadcast.
	LocalState func() *wire.News
	// HandleUpdate handles another router's state update.
	HandleUpdate func(n *wire.News)
	// CachedPrompts returns all prompts known to be cached, with their engines. MergeCachedPrompts merges those of another
	// router.
	CachedPrompts      func() []*wire.PromptHome
	MergeCachedPrompts func(list []*wire.PromptHome)
	// MergeChanges merges the changes of the store between two revisions.
	MergeChanges func(list []store.Change, since, upTo store.Revision)
	// SendsChangesTo reports whether this router is the watcher assigned to send the changes of the store to the given router.
	SendsChangesTo func(vm ids.VM) bool
	// ChangesSince returns the changes of the store after a revision, and the revision up to which they are complete.
	ChangesSince func(since store.Revision) ([]store.Change, store.Revision)
}

// Broadcaster exchanges state updates with all other routers. It is safe for concurrent use.
type Broadcaster struct {
	o       Options
	trigger chan struct{}

	mu sync.Mutex
	// listed holds the routers that the store lists, seen those that have sent an update.
	listed map[ids.VM]string
	seen   map[ids.VM]peer
	// sending holds the routers to which an update is being sent, failed those that the last update did not reach.
	sending map[ids.VM]bool
	failed  map[ids.VM]bool
	// peerRevisions holds the store revision that each router is known to have reached, behindSince since when it lacks
	// changes.
	peerRevisions map[ids.VM]store.Revision
	behindSince   map[ids.VM]time.Time
	// promptRequests counts the routers from which cached prompts were requested.
	promptRequests int
}

type peer struct {
	address  string
	lastSeen time.Time
}

// NewBroadcaster returns a Broadcaster without peers.
func NewBroadcaster(o Options) *Broadcaster {
	return &Broadcaster{
		o: o, trigger: make(chan struct{}, 1), listed: map[ids.VM]string{}, seen: map[ids.VM]peer{}, sending: map[ids.VM]bool{},
		failed: map[ids.VM]bool{}, peerRevisions: map[ids.VM]store.Revision{}, behindSince: map[ids.VM]time.Time{},
	}
}

// SetListed records the address of a router that the store lists. An empty address means that the store no longer lists it.
func (b *Broadcaster) SetListed(vm ids.VM, address string) {
	if vm == b.o.Self {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if address == "" {
		delete(b.listed, vm)
		return
	}
	b.listed[vm] = address
}

// Peers returns the addresses of the other routers that are present, or the seeds if there are none.
func (b *Broadcaster) Peers() map[ids.VM]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ids.VM]string, len(b.listed))
	now := b.o.Clock.Now()
	for vm, p := range b.seen {
		if now.Sub(p.lastSeen) < peerTTL {
			out[vm] = p.address
		} else {
			delete(b.seen, vm)
		}
	}
	for vm, address := range b.listed {
		out[vm] = address
	}
	if len(out) > 0 {
		return out
	}
	for _, address := range b.o.Seeds {
		// The name of a seed is unknown until it has sent an update.
		out[ids.VM(address)] = address
	}
	return out
}

// RequestBroadcast requests a broadcast soon. It does not block.
func (b *Broadcaster) RequestBroadcast() {
	select {
	case b.trigger <- struct{}{}:
	default:
	}
}

// Run broadcasts updates until ctx is done.
func (b *Broadcaster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-b.trigger:
		case <-b.o.Clock.After(idleInterval):
		}
		peers := b.Peers()
		b.broadcast(peers)
		pause := broadcastInterval * time.Duration(1+len(peers)/peersPerInterval)
		select {
		case <-ctx.Done():
		case <-b.o.Clock.After(pause):
		}
	}
}

func (b *Broadcaster) broadcast(peers map[ids.VM]string) {
	update := b.o.LocalState()
	for vm, address := range peers {
		b.mu.Lock()
		busy := b.sending[vm]
		b.sending[vm] = true
		b.mu.Unlock()
		if busy {
			continue
		}
		b.o.Group.Go(func(ctx context.Context) { b.send(ctx, vm, address, update) })
	}
}

func (b *Broadcaster) send(ctx context.Context, vm ids.VM, address string, update *wire.News) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	conn := b.o.Dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	sent, requested := b.withPromptRequest(b.withChanges(vm, update))
	reply, err := wire.NewDRPCNeighbourClient(conn).Tell(ctx, sent)
	b.mu.Lock()
	if err == nil {
		b.peerRevisions[vm] = store.Revision(reply.GetRevision())
	}
	b.sending[vm] = false
	if err != nil && requested {
		b.promptRequests--
	}
	failedBefore := b.failed[vm]
	b.failed[vm] = err != nil
	b.mu.Unlock()
	if err != nil {
		if !failedBefore {
			b.o.Log.Write(event.PeerChanged, "router", vm, "state", "does not answer", "error", err.Error())
		}
		return
	}
	if failedBefore {
		b.o.Log.Write(event.PeerChanged, "router", vm, "state", "answers again")
	}
	if requested {
		b.o.MergeCachedPrompts(reply.GetHomes())
	}
	if reply.GetComplete() {
		b.o.MergeChanges(decodeChanges(reply.GetChanges()), store.Revision(sent.GetRevision()), store.Revision(reply.GetRevision()))
	}
}

// withChanges adds the changes that a router lacks to an update for it. A router whose revision is not known yet requests
// them itself.
func (b *Broadcaster) withChanges(vm ids.VM, update *wire.News) *wire.News {
	b.mu.Lock()
	known, ok := b.peerRevisions[vm]
	b.mu.Unlock()
	if !ok || !b.shouldSendChanges(vm, known, store.Revision(update.GetRevision())) {
		return update
	}
	list, revision := b.o.ChangesSince(known)
	out := proto.CloneOf(update)
	out.Revision = uint64(revision)
	out.Changes = encodeChanges(list)
	out.Complete = true
	out.ChangesSince = uint64(known)
	return out
}

// withPromptRequest adds a request for the cached prompts to an update until maxPromptRequests routers have received one. It
// reports whether it did.
func (b *Broadcaster) withPromptRequest(update *wire.News) (*wire.News, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.promptRequests >= maxPromptRequests {
		return update, false
	}
	b.promptRequests++
	out := proto.CloneOf(update)
	out.WantsHomes = true
	return out, true
}

// shouldSendChanges reports whether this router sends another router the changes that it lacks: this router is its assigned
// watcher, or no other router has sent them for fallbackDelay. If every router sent the whole configuration to every other
// one, the smaller links would be saturated.
func (b *Broadcaster) shouldSendChanges(vm ids.VM, known, own store.Revision) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known >= own {
		delete(b.behindSince, vm)
		return false
	}
	now := b.o.Clock.Now()
	since, behind := b.behindSince[vm]
	if !behind {
		b.behindSince[vm] = now
		since = now
	}
	return b.o.SendsChangesTo(vm) || now.Sub(since) > fallbackDelay
}

func encodeChanges(list []store.Change) []*wire.StoreChange {
	out := make([]*wire.StoreChange, 0, len(list))
	for _, c := range list {
		out = append(out, &wire.StoreChange{Key: c.Key, Value: c.Value, Revision: uint64(c.Modified), Removed: c.Removed})
	}
	return out
}

func decodeChanges(list []*wire.StoreChange) []store.Change {
	out := make([]store.Change, 0, len(list))
	for _, c := range list {
		out = append(out, store.Change{
			Item:    store.Item{Key: c.GetKey(), Value: c.GetValue(), Modified: store.Revision(c.GetRevision())},
			Removed: c.GetRemoved(),
		})
	}
	return out
}
