package gossip

import (
	"context"
	"time"

	"bilberrylug.dev/core/delta"
	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// idleBulkInterval is the interval at which a router that lacks nothing checks whether it does.
const idleBulkInterval = time.Second

// RunBulk pulls and fetches what this router lacks until ctx is done.
func (b *Broadcaster) RunBulk(ctx context.Context) {
	for ctx.Err() == nil {
		wait := b.startBulk()
		select {
		case <-ctx.Done():
		case <-b.bulkDue:
		case <-b.o.Clock.After(wait):
		}
	}
}

// startBulk starts the pull and the fetch that are due, and returns the time until the next check.
func (b *Broadcaster) startBulk() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Clock.Now()
	if p, ok := b.node.NextPull(now); ok {
		b.o.Group.Go(func(ctx context.Context) { b.pull(ctx, p) })
	}
	if f, ok := b.node.NextFetch(now); ok {
		b.o.Group.Go(func(ctx context.Context) { b.fetch(ctx, f) })
	}
	if wait, lacking := b.node.BulkWait(now); lacking {
		return wait
	}
	b.forgetPeers(b.node.Peers(now))
	return idleBulkInterval
}

// pull pulls one page of changes.
func (b *Broadcaster) pull(ctx context.Context, p dissemination.Pull) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	conn := b.o.Dialer.Conn(p.Address)
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCNeighbourClient(conn).Pull(ctx, &wire.PullRequest{Since: uint64(p.Since), Snapshot: p.Snapshot})
	var page *dissemination.Page
	if err == nil {
		page = decodePage(reply)
	}
	b.merge(func(now time.Time) []store.Change { return b.node.PullDone(p.From, page, now) })
	wake(b.bulkDue)
	if err != nil {
		b.o.Log.Write(event.PullFailed, "router", p.From, "since", p.Since, "timeout", p.Timeout.String(), "error", err.Error())
		return
	}
	b.o.Log.Write(event.ChangesPulled, "router", p.From, "since", p.Since, "up_to", page.UpTo,
		"changes", len(page.List), "more", page.More, "snapshot", page.Snapshot, "retry_after", page.RetryAfter.String())
}

// fetch fetches one chunk of the large value from another router, or all of it from the store.
func (b *Broadcaster) fetch(ctx context.Context, f dissemination.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	defer wake(b.bulkDue)
	if f.From == "" {
		b.readValue(ctx, f)
		return
	}
	conn := b.o.Dialer.Conn(f.Address)
	defer func() { _ = conn.Close() }()
	start := b.o.Clock.Now()
	reply, err := wire.NewDRPCNeighbourClient(conn).Fetch(ctx, encodeChunkRequest(f.ChunkRequest))
	var chunk *dissemination.Chunk
	if err == nil {
		chunk = decodeChunk(reply)
	}
	b.mu.Lock()
	now := b.o.Clock.Now()
	whole, complete := b.node.FetchDone(f, chunk, now.Sub(start), now)
	var base []byte
	if complete && whole.Base != 0 {
		base = b.node.Value(whole.Base)
	}
	b.mu.Unlock()
	if err != nil {
		b.o.Log.Write(event.PullFailed, "router", f.From, "value", f.Revision, "offset", f.Offset, "timeout", f.Timeout.String(),
			"error", err.Error())
	}
	if complete {
		b.decode(f, whole, base)
	}
}

// decode decodes a complete value and applies it.
func (b *Broadcaster) decode(f dissemination.Fetch, c *dissemination.Chunk, base []byte) {
	value, err := delta.Decode(c.Encoded, base)
	if err != nil {
		b.mu.Lock()
		b.node.FetchFailed(f.From, b.o.Clock.Now())
		b.mu.Unlock()
		b.o.Log.Write(event.PullFailed, "router", f.From, "value", c.Revision, "base", c.Base, "error", err.Error())
		return
	}
	b.o.Log.Write(event.ValueFetched, "router", f.From, "value", c.Revision, "base", c.Base, "bytes", len(value),
		"transferred", c.EncodedSize)
	b.o.Metrics.Histogram("value_transferred_bytes").Update(int64(c.EncodedSize))
	b.resolve(store.Item{Key: b.o.ValueKey, Value: value, Modified: c.Revision})
}

// readValue reads the large value from the store.
func (b *Broadcaster) readValue(ctx context.Context, f dissemination.Fetch) {
	item, err := b.o.ReadValue(ctx)
	defer func() {
		b.mu.Lock()
		b.node.StoreReadDone(b.o.Clock.Now())
		b.mu.Unlock()
	}()
	if err != nil {
		b.o.Log.Write(event.StoreFailed, "call", "read value", "value", f.Revision, "error", err.Error())
		return
	}
	b.o.Log.Write(event.ValueFetched, "router", "store", "value", item.Modified, "bytes", len(item.Value))
	b.resolve(item)
}

func (b *Broadcaster) resolve(item store.Item) {
	b.merge(func(time.Time) []store.Change { return b.node.Resolve(item) })
}
