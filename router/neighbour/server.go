package neighbour

import (
	"context"

	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// Register adds the service to a multiplexer.
func (t *Teller) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterNeighbour(mux, t) }

// Tell takes another router's news. Its reply holds the changes of the store that the sender lacks.
func (t *Teller) Tell(_ context.Context, n *wire.News) (*wire.NewsReply, error) {
	vm := ids.VM(n.GetSender())
	t.mu.Lock()
	if n.GetLeaving() {
		delete(t.heard, vm)
	} else {
		t.heard[vm] = peer{address: n.GetAddress(), at: t.o.Clock.Now()}
	}
	t.mu.Unlock()
	t.o.Take(n)
	list, revision := t.o.Since(store.Revision(n.GetRevision()))
	reply := &wire.NewsReply{Revision: uint64(revision)}
	for _, c := range list {
		reply.Changes = append(reply.Changes, &wire.StoreChange{
			Key: c.Key, Value: c.Value, Revision: uint64(c.Modified), Removed: c.Removed,
		})
	}
	return reply, nil
}
