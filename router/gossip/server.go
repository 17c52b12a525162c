package gossip

import (
	"context"
	"time"

	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// Register registers the service with a mux.
func (b *Broadcaster) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterNeighbour(mux, b) }

// Tell implements [wire.DRPCNeighbourServer]. It handles a state update of another router.
func (b *Broadcaster) Tell(_ context.Context, n *wire.News) (*wire.NewsReply, error) {
	vm := ids.VM(n.GetSender())
	b.o.MergeQuarantine(vm, n.GetQuarantine())
	b.merge(func(now time.Time) []store.Change {
		return b.node.Receive(vm, n.GetAddress(), decodeStatus(n.GetStatus()), decodeDelta(n), now)
	})
	wake(b.bulkDue)
	b.o.HandleUpdate(n)
	b.mu.Lock()
	reply := &wire.NewsReply{Status: encodeStatus(b.node.Status())}
	b.mu.Unlock()
	if n.GetWantsHomes() {
		reply.Homes = b.o.CachedPrompts()
		reply.Quarantine, reply.Sender = b.o.Quarantine(), string(b.o.Self)
	}
	return reply, nil
}

// decodeDelta returns the changes in an update, or nil if it has none.
func decodeDelta(n *wire.News) *mirror.Delta {
	if !n.GetComplete() {
		return nil
	}
	return &mirror.Delta{
		List: decodeChanges(n.GetChanges()), Since: store.Revision(n.GetChangesSince()), UpTo: store.Revision(n.GetChangesUpTo()),
	}
}

// Pull implements [wire.DRPCNeighbourServer]. It returns the changes that another router lacks.
func (b *Broadcaster) Pull(_ context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return encodePage(b.node.ServePull(store.Revision(r.GetSince()), r.GetSnapshot(), b.o.Clock.Now())), nil
}

// Fetch implements [wire.DRPCNeighbourServer]. It returns a chunk of the large value.
func (b *Broadcaster) Fetch(_ context.Context, r *wire.ChunkRequest) (*wire.ChunkReply, error) {
	b.mu.Lock()
	offer := b.node.ServeFetch(decodeChunkRequest(r), b.o.Clock.Now())
	b.mu.Unlock()
	return encodeChunk(offer.Chunk()), nil
}
