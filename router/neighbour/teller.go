// Package neighbour broadcasts this router's state to the other routers, receives theirs, and exchanges the changes of the
// store that either side lacks.
//
// # Usage
//
//	t := neighbour.NewTeller(neighbour.Options{...})
//	t.List("entry-2", "10.0.0.2:7200")
//	g.Go(t.Run)
//	t.Nudge() // the state has changed
package neighbour

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/link"
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

// Options configure a Teller.
type Options struct {
	Self ids.VM
	// Seeds are the addresses to which updates are sent while no other router is known.
	Seeds  []string
	Dialer *link.Dialer
	Clock  clockwork.Clock
	Log    *event.Log
	Group  *group.Group
	// News returns the current state of this router; it is called once for each broadcast.
	News func() *wire.News
	// Take handles another router's state update.
	Take func(n *wire.News)
	// Homes returns all prompts known to be cached, with their engines. TakeHomes handles those of another router.
	Homes     func() []*wire.PromptHome
	TakeHomes func(list []*wire.PromptHome)
	// Merge merges the changes of the store between two revisions.
	Merge func(list []store.Change, since, upTo store.Revision)
	// Serves reports whether this router is the watcher assigned to send the changes of the store to the given router.
	Serves func(vm ids.VM) bool
	// Since returns the changes of the store after a revision, and the revision up to which they are complete.
	Since func(since store.Revision) ([]store.Change, store.Revision)
}

// Teller exchanges state updates with all other routers. It is safe for concurrent use.
type Teller struct {
	o       Options
	trigger chan struct{}

	mu sync.Mutex
	// listed holds the routers that the store lists, seen those that have sent an update.
	listed  map[ids.VM]string
	seen    map[ids.VM]peer
	sending map[ids.VM]bool
	failed  map[ids.VM]bool
	// peerRevisions holds the store revision that each router is known to have reached, behindSince since when it lacks changes.
	peerRevisions map[ids.VM]store.Revision
	behindSince   map[ids.VM]time.Time
	// promptRequests counts the routers from which cached prompts were requested.
	promptRequests int
}

type peer struct {
	address  string
	lastSeen time.Time
}

// NewTeller returns a Teller without peers.
func NewTeller(o Options) *Teller {
	return &Teller{
		o: o, trigger: make(chan struct{}, 1), listed: map[ids.VM]string{}, seen: map[ids.VM]peer{}, sending: map[ids.VM]bool{},
		failed: map[ids.VM]bool{}, peerRevisions: map[ids.VM]store.Revision{}, behindSince: map[ids.VM]time.Time{},
	}
}

// List records the address of a router that the store lists. An empty address means that the store no longer lists it.
func (t *Teller) List(vm ids.VM, address string) {
	if vm == t.o.Self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == "" {
		delete(t.listed, vm)
		return
	}
	t.listed[vm] = address
}

// Peers returns the addresses of the other routers that are present, or the seeds if there are none.
func (t *Teller) Peers() map[ids.VM]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ids.VM]string, len(t.listed))
	now := t.o.Clock.Now()
	for vm, p := range t.seen {
		if now.Sub(p.lastSeen) < peerTTL {
			out[vm] = p.address
		} else {
			delete(t.seen, vm)
		}
	}
	for vm, address := range t.listed {
		out[vm] = address
	}
	if len(out) > 0 {
		return out
	}
	for _, address := range t.o.Seeds {
		// The name of a seed is unknown until it has sent an update.
		out[ids.VM(address)] = address
	}
	return out
}

// Nudge requests a broadcast soon. It does not block.
func (t *Teller) Nudge() {
	select {
	case t.trigger <- struct{}{}:
	default:
	}
}

// Run broadcasts updates until the context ends.
func (t *Teller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.trigger:
		case <-t.o.Clock.After(idleInterval):
		}
		peers := t.Peers()
		t.broadcast(peers)
		pause := broadcastInterval * time.Duration(1+len(peers)/peersPerInterval)
		select {
		case <-ctx.Done():
		case <-t.o.Clock.After(pause):
		}
	}
}

func (t *Teller) broadcast(peers map[ids.VM]string) {
	update := t.o.News()
	for vm, address := range peers {
		t.mu.Lock()
		busy := t.sending[vm]
		t.sending[vm] = true
		t.mu.Unlock()
		if busy {
			continue
		}
		t.o.Group.Go(func(ctx context.Context) { t.send(ctx, vm, address, update) })
	}
}

func (t *Teller) send(ctx context.Context, vm ids.VM, address string, update *wire.News) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	conn := t.o.Dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	sent, requested := t.withPromptRequest(t.withChanges(vm, update))
	reply, err := wire.NewDRPCNeighbourClient(conn).Tell(ctx, sent)
	t.mu.Lock()
	if err == nil {
		t.peerRevisions[vm] = store.Revision(reply.GetRevision())
	}
	t.sending[vm] = false
	if err != nil && requested {
		t.promptRequests--
	}
	failedBefore := t.failed[vm]
	t.failed[vm] = err != nil
	t.mu.Unlock()
	if err != nil {
		if !failedBefore {
			t.o.Log.Write(event.PeerChanged, "router", vm, "state", "does not answer", "error", err.Error())
		}
		return
	}
	if failedBefore {
		t.o.Log.Write(event.PeerChanged, "router", vm, "state", "answers again")
	}
	if requested {
		t.o.TakeHomes(reply.GetHomes())
	}
	if reply.GetComplete() {
		t.o.Merge(decodeChanges(reply.GetChanges()), store.Revision(sent.GetRevision()), store.Revision(reply.GetRevision()))
	}
}

// withChanges adds the changes that a router lacks to an update for it. A router whose revision is not known yet gets them in
// its own exchange.
func (t *Teller) withChanges(vm ids.VM, update *wire.News) *wire.News {
	t.mu.Lock()
	known, ok := t.peerRevisions[vm]
	t.mu.Unlock()
	if !ok || !t.shouldSendChanges(vm, known, store.Revision(update.GetRevision())) {
		return update
	}
	list, revision := t.o.Since(known)
	out := proto.CloneOf(update)
	out.Revision = uint64(revision)
	out.Changes = encodeChanges(list)
	out.Complete = true
	out.ChangesSince = uint64(known)
	return out
}

// withPromptRequest adds a request for the cached prompts to an update until maxPromptRequests routers have received one. It
// reports whether it did.
func (t *Teller) withPromptRequest(update *wire.News) (*wire.News, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.promptRequests >= maxPromptRequests {
		return update, false
	}
	t.promptRequests++
	out := proto.CloneOf(update)
	out.WantsHomes = true
	return out, true
}

// shouldSendChanges reports whether this router sends another router the changes that it lacks: this router is its assigned
// watcher, or no other router has sent them for fallbackDelay. If every router sent the whole configuration to every other
// one, the smaller links would be saturated.
func (t *Teller) shouldSendChanges(vm ids.VM, known, own store.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known >= own {
		delete(t.behindSince, vm)
		return false
	}
	now := t.o.Clock.Now()
	since, late := t.behindSince[vm]
	if !late {
		t.behindSince[vm] = now
		since = now
	}
	return t.o.Serves(vm) || now.Sub(since) > fallbackDelay
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
