package gossip

import (
	"context"

	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// Register adds the service to a multiplexer.
func (t *Broadcaster) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterNeighbour(mux, t) }

// Tell takes another router's news. Its reply holds the changes of the store that the sender lacks.
func (t *Broadcaster) Tell(_ context.Context, n *wire.News) (*wire.NewsReply, error) {
	vm := ids.VM(n.GetSender())
	t.mu.Lock()
	if n.GetLeaving() {
		delete(t.heard, vm)
	} else {
		t.heard[vm] = peer{address: n.GetAddress(), at: t.o.Clock.Now()}
	}
	// A router that has started anew has less than before.
	t.known[vm] = store.Revision(n.GetRevision())
	t.mu.Unlock()
	if n.GetComplete() {
		t.o.MergeChanges(changes(n.GetChanges()), store.Revision(n.GetChangesSince()), store.Revision(n.GetRevision()))
	}
	t.o.HandleUpdate(n)
	list, revision := t.o.ChangesSince(store.Revision(n.GetRevision()))
	reply := &wire.NewsReply{Revision: uint64(revision)}
	if t.sends(vm, store.Revision(n.GetRevision()), revision) {
		reply.Changes = encode(list)
		reply.Complete = true
	}
	if n.GetWantsHomes() {
		reply.Homes = t.o.CachedPrompts()
	}
	return reply, nil
}
