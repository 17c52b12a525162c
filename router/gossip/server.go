package gossip

import (
	"context"

	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// Register registers the service with a mux.
func (b *Broadcaster) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterNeighbour(mux, b) }

// Tell implements [wire.DRPCNeighbourServer]. It handles a state update of another router. The reply contains the changes of
// the store that the sender lacks, if this router is the one to send them.
func (b *Broadcaster) Tell(_ context.Context, n *wire.News) (*wire.NewsReply, error) {
	vm := ids.VM(n.GetSender())
	b.mu.Lock()
	if n.GetLeaving() {
		delete(b.seen, vm)
	} else {
		b.seen[vm] = peer{address: n.GetAddress(), lastSeen: b.o.Clock.Now()}
	}
	// A restarted router is at a lower revision than before, so the reported revision always replaces the known one.
	b.peerRevisions[vm] = store.Revision(n.GetRevision())
	b.mu.Unlock()
	if n.GetComplete() {
		b.o.MergeChanges(decodeChanges(n.GetChanges()), store.Revision(n.GetChangesSince()), store.Revision(n.GetRevision()))
	}
	b.o.HandleUpdate(n)
	list, revision := b.o.ChangesSince(store.Revision(n.GetRevision()))
	reply := &wire.NewsReply{Revision: uint64(revision)}
	if b.shouldSendChanges(vm, store.Revision(n.GetRevision()), revision) {
		reply.Changes = encodeChanges(list)
		reply.Complete = true
	}
	if n.GetWantsHomes() {
		reply.Homes = b.o.CachedPrompts()
	}
	return reply, nil
}
