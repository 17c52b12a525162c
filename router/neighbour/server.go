package neighbour

import (
	"context"

	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// Register registers the service with a multiplexer.
func (t *Teller) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterNeighbour(mux, t) }

// Tell handles a state update of another router. The reply contains the changes of the store that the sender lacks, if this
// router is the one to send them.
func (t *Teller) Tell(_ context.Context, n *wire.News) (*wire.NewsReply, error) {
	vm := ids.VM(n.GetSender())
	t.mu.Lock()
	if n.GetLeaving() {
		delete(t.seen, vm)
	} else {
		t.seen[vm] = peer{address: n.GetAddress(), lastSeen: t.o.Clock.Now()}
	}
	// A restarted router is at a lower revision than before.
	t.peerRevisions[vm] = store.Revision(n.GetRevision())
	t.mu.Unlock()
	if n.GetComplete() {
		t.o.Merge(decodeChanges(n.GetChanges()), store.Revision(n.GetChangesSince()), store.Revision(n.GetRevision()))
	}
	t.o.Take(n)
	list, revision := t.o.Since(store.Revision(n.GetRevision()))
	reply := &wire.NewsReply{Revision: uint64(revision)}
	if t.shouldSendChanges(vm, store.Revision(n.GetRevision()), revision) {
		reply.Changes = encodeChanges(list)
		reply.Complete = true
	}
	if n.GetWantsHomes() {
		reply.Homes = t.o.Homes()
	}
	return reply, nil
}
