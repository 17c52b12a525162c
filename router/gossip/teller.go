// Package neighbour tells the other routers what this one has under way and has found out, and brings in the changes of the
// store that it lacks.
//
// # Usage
//
//	t := neighbour.NewBroadcaster(neighbour.Options{...})
//	t.SetPeers(map[ids.VM]string{"entry-2": "10.0.0.2:7200"})
//	g.Go(t.Run)
//	t.Nudge() // there is news
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
	"bilberrylug.dev/core/link"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

const (
	// tellPause gathers news; it grows with the number of routers, so that the total stays about the same for each.
	tellPause     = 50 * time.Millisecond
	routersAtOnce = 8
	// tellIdle is the longest pause without news, so that a router that is cut off from the store hears of changes.
	tellIdle = 500 * time.Millisecond
	// tellTime bounds one telling.
	tellTime = 400 * time.Millisecond
	// servedTime is how long a router may lack changes before others than the one that serves it send them.
	servedTime = 700 * time.Millisecond
	// homesFrom is the number of routers that one that starts asks for the engines of prompts: each hears of almost all.
	homesFrom = 2
	// heardLife is how long a router counts as present after its last word, though the store does not list it.
	heardLife = 3 * time.Second
)

// Options are what a teller needs.
type Options struct {
	Self ids.VM
	// Seeds are the addresses that are told while no other router is known.
	Seeds  []string
	Dialer *link.Dialer
	Clock  clockwork.Clock
	Log    *event.Log
	Group  *group.Group
	// LocalState returns the present news; it is asked once for each round.
	LocalState func() *wire.News
	// HandleUpdate takes another router's news.
	HandleUpdate func(n *wire.News)
	// CachedPrompts returns all prompts whose engines are known, TakeHomes takes those of another router.
	CachedPrompts      func() []*wire.PromptHome
	MergeCachedPrompts func(list []*wire.PromptHome)
	// MergeChanges takes the changes of the store between two revisions.
	MergeChanges func(list []store.Change, since, upTo store.Revision)
	// Serves tells whether this router is the one that sends another the changes of the store.
	SendsChangesTo func(vm ids.VM) bool
	// Since returns the changes of the store behind a revision.
	ChangesSince func(since store.Revision) ([]store.Change, store.Revision)
}

// Broadcaster spreads news to all other routers.
type Broadcaster struct {
	o     Options
	nudge chan struct{}

	mu sync.Mutex
	// listed are the routers that the store lists, heard those that have told something.
	listed  map[ids.VM]string
	heard   map[ids.VM]peer
	telling map[ids.VM]bool
	failed  map[ids.VM]bool
	// known is the store's revision that another router is known to have reached, behind since when it lacks changes.
	known  map[ids.VM]store.Revision
	behind map[ids.VM]time.Time
	// homesAsked counts the routers that were asked for the engines of prompts.
	homesAsked int
}

type peer struct {
	address string
	at      time.Time
}

// NewBroadcaster returns a teller without peers.
func NewBroadcaster(o Options) *Broadcaster {
	return &Broadcaster{
		o: o, nudge: make(chan struct{}, 1), listed: map[ids.VM]string{}, heard: map[ids.VM]peer{}, telling: map[ids.VM]bool{},
		failed: map[ids.VM]bool{}, known: map[ids.VM]store.Revision{}, behind: map[ids.VM]time.Time{},
	}
}

// SetListed notes a router that the store lists; the empty address that it no longer does.
func (t *Broadcaster) SetListed(vm ids.VM, address string) {
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

// Peers returns the other routers that are present, with their addresses.
func (t *Broadcaster) Peers() map[ids.VM]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ids.VM]string, len(t.listed))
	now := t.o.Clock.Now()
	for vm, p := range t.heard {
		if now.Sub(p.at) < heardLife {
			out[vm] = p.address
		} else {
			delete(t.heard, vm)
		}
	}
	for vm, address := range t.listed {
		out[vm] = address
	}
	if len(out) > 0 {
		return out
	}
	for _, address := range t.o.Seeds {
		// A seed's name is not known before it has told something.
		out[ids.VM(address)] = address
	}
	return out
}

// RequestBroadcast has the news told soon.
func (t *Broadcaster) RequestBroadcast() {
	select {
	case t.nudge <- struct{}{}:
	default:
	}
}

// Run tells news until the context ends.
func (t *Broadcaster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.nudge:
		case <-t.o.Clock.After(tellIdle):
		}
		peers := t.Peers()
		t.round(peers)
		pause := tellPause * time.Duration(1+len(peers)/routersAtOnce)
		select {
		case <-ctx.Done():
		case <-t.o.Clock.After(pause):
		}
	}
}

func (t *Broadcaster) round(peers map[ids.VM]string) {
	news := t.o.LocalState()
	for vm, address := range peers {
		t.mu.Lock()
		busy := t.telling[vm]
		t.telling[vm] = true
		t.mu.Unlock()
		if busy {
			continue
		}
		t.o.Group.Go(func(ctx context.Context) { t.tell(ctx, vm, address, news) })
	}
}

func (t *Broadcaster) tell(ctx context.Context, vm ids.VM, address string, news *wire.News) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	conn := t.o.Dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	sent, wants := t.wanting(t.with(vm, news))
	reply, err := wire.NewDRPCNeighbourClient(conn).Tell(ctx, sent)
	t.mu.Lock()
	if err == nil {
		t.known[vm] = store.Revision(reply.GetRevision())
	}
	t.telling[vm] = false
	if err != nil && wants {
		t.homesAsked--
	}
	before := t.failed[vm]
	t.failed[vm] = err != nil
	t.mu.Unlock()
	if err != nil {
		if !before {
			t.o.Log.Write(event.PeerChanged, "router", vm, "state", "does not answer", "error", err.Error())
		}
		return
	}
	if before {
		t.o.Log.Write(event.PeerChanged, "router", vm, "state", "answers again")
	}
	if wants {
		t.o.MergeCachedPrompts(reply.GetHomes())
	}
	if reply.GetComplete() {
		t.o.MergeChanges(changes(reply.GetChanges()), store.Revision(sent.GetRevision()), store.Revision(reply.GetRevision()))
	}
}

// with adds the changes to the news that a router lacks. A router of which nothing is known yet asks for them itself.
func (t *Broadcaster) with(vm ids.VM, news *wire.News) *wire.News {
	t.mu.Lock()
	known, ok := t.known[vm]
	t.mu.Unlock()
	if !ok || !t.sends(vm, known, store.Revision(news.GetRevision())) {
		return news
	}
	list, revision := t.o.ChangesSince(known)
	out := proto.CloneOf(news)
	out.Revision = uint64(revision)
	out.Changes = encode(list)
	out.Complete = true
	out.ChangesSince = uint64(known)
	return out
}

// wanting has the news ask for the engines of prompts while too few routers were asked.
func (t *Broadcaster) wanting(news *wire.News) (*wire.News, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.homesAsked >= homesFrom {
		return news, false
	}
	t.homesAsked++
	out := proto.CloneOf(news)
	out.WantsHomes = true
	return out, true
}

// sends tells whether this router sends another the changes that it lacks: it is the one that serves it, or nobody else has
// done so for a while. The whole configuration to all routers from all routers would fill the smaller links.
func (t *Broadcaster) sends(vm ids.VM, known, own store.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known >= own {
		delete(t.behind, vm)
		return false
	}
	now := t.o.Clock.Now()
	since, late := t.behind[vm]
	if !late {
		t.behind[vm] = now
		since = now
	}
	return t.o.SendsChangesTo(vm) || now.Sub(since) > servedTime
}

func encode(list []store.Change) []*wire.StoreChange {
	out := make([]*wire.StoreChange, 0, len(list))
	for _, c := range list {
		out = append(out, &wire.StoreChange{Key: c.Key, Value: c.Value, Revision: uint64(c.Modified), Removed: c.Removed})
	}
	return out
}

func changes(list []*wire.StoreChange) []store.Change {
	out := make([]store.Change, 0, len(list))
	for _, c := range list {
		out = append(out, store.Change{
			Item:    store.Item{Key: c.GetKey(), Value: c.GetValue(), Modified: store.Revision(c.GetRevision())},
			Removed: c.GetRemoved(),
		})
	}
	return out
}
