package dissemination

import (
	"slices"
	"time"

	"bilberrylug.dev/core/delta"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// maxChunkBytes is the size of one chunk of a large value. It keeps a link of 20 Mbit/s for 13 ms from other messages.
	maxChunkBytes = 32 << 10
	// downloadShare is the part of the router's link that a fetch may take.
	downloadShare = 0.5
	// storeReadDelay is how long no other router may be known to have the value before the router reads it from the store;
	// narrow routers wait for narrowStoreReadDelay, since the store sends the whole value uncompressed. storeReadInterval is the
	// least time between two such reads.
	storeReadDelay       = 300 * time.Millisecond
	narrowStoreReadDelay = time.Second
	storeReadInterval    = time.Second
	// fetchPause is the least time between two fetches that fail.
	fetchPause = 20 * time.Millisecond
	// minBulkTimeout and maxBulkTimeout bound the timeout of a pull or fetch; slowFactor is by how much the transfer may be
	// slower than the peer's rate so far, and assumedRate the rate of a peer that has delivered nothing yet.
	minBulkTimeout                = 500 * time.Millisecond
	maxBulkTimeout                = 3 * time.Second
	slowFactor                    = 4
	assumedRate    BytesPerSecond = 200 << 10
)

// bulkTimeout returns the timeout of a request whose reply has up to the given number of bytes.
func (p *peer) bulkTimeout(own BytesPerSecond, bytes int) time.Duration {
	rate := p.rate
	if rate == 0 {
		rate = assumedRate
		if own > 0 {
			rate = min(rate, own)
		}
	}
	return min(maxBulkTimeout, minBulkTimeout+slowFactor*rate.transferTime(bytes))
}

// Fetch is a request for a chunk of the large value. If From is empty, the value is to be read from the store.
type Fetch struct {
	From    ids.VM
	Address string
	ChunkRequest
	// Timeout bounds the request.
	Timeout time.Duration
}

// ChunkRequest names a chunk of the large value.
type ChunkRequest struct {
	// Revision is the least revision of the value, or the exact one if Offset is not zero.
	Revision store.Revision
	// Base is the revision of the value that the requester has, zero if it has none.
	Base store.Revision
	// Offset is the position of the chunk in the encoded value, and Checksum the checksum of the encoded value if Offset is
	// not zero.
	Offset   int
	Checksum uint64
	// Narrow is set if the requester is narrow.
	Narrow bool
}

// Chunk is a part of the encoded large value.
type Chunk struct {
	Revision store.Revision
	// Base is the revision of the value against which the value is encoded; zero means none.
	Base store.Revision
	// Encoded is the form of the value, with one part of its data; EncodedSize is the size of all the data.
	delta.Encoded
	EncodedSize int
	Checksum    uint64
	// Missing is set if the router does not have the requested value.
	Missing bool
	// RetryAfter is set instead of data if the router serves too many requests at present. Others are routers that have
	// fetched the value.
	RetryAfter time.Duration
	Others     []ids.VM
}

type fetchState struct {
	// inFlight is set while a request is under way, and while a complete value is being decoded.
	inFlight bool
	nextAt   time.Time
	// noHolderSince is since when no router is known to have the value, zero if one is. storeReadAt is when the value was last
	// read from the store.
	noHolderSince time.Time
	storeReadAt   time.Time
	// chunk is the first chunk of the value that is being received, with all the data received so far; nil if there is none.
	chunk *Chunk
	// from is the router that has sent the last chunk.
	from ids.VM
}

// NextFetch returns the fetch that is due, if any, and counts it as under way. A value that is being received is completed
// before a newer one is fetched, so that changes in quick succession do not delay each other.
func (n *Node) NextFetch(now time.Time) (Fetch, bool) {
	want, _, omitted := n.replica.Omitted(n.o.ValueKey)
	if n.fetch.inFlight || !omitted {
		if !n.fetch.inFlight {
			n.fetch = fetchState{storeReadAt: n.fetch.storeReadAt}
		}
		return Fetch{}, false
	}
	if now.Before(n.fetch.nextAt) {
		return Fetch{}, false
	}
	f := Fetch{ChunkRequest: ChunkRequest{Revision: want, Base: n.versions.newest(), Narrow: n.o.Narrow()}}
	if c := n.fetch.chunk; c != nil {
		f.ChunkRequest = ChunkRequest{Revision: c.Revision, Base: c.Base, Offset: len(c.Data), Checksum: c.Checksum, Narrow: n.o.Narrow()}
	}
	if c, ok := n.fetchFrom(f.ChunkRequest, now); ok {
		f.From, f.Address, f.Timeout = c.vm, c.address, c.bulkTimeout(n.o.Link, maxChunkBytes)
		n.fetch.inFlight = true
		n.fetch.noHolderSince = time.Time{}
		return f, true
	}
	if n.anyHolder(want) {
		n.fetch.noHolderSince = time.Time{}
		return Fetch{}, false
	}
	if n.fetch.noHolderSince.IsZero() {
		n.fetch.noHolderSince = now
	}
	delay := storeReadDelay
	if n.o.Narrow() {
		delay = narrowStoreReadDelay
	}
	if now.Sub(n.fetch.noHolderSince) < delay || now.Sub(n.fetch.storeReadAt) < storeReadInterval {
		return Fetch{}, false
	}
	n.fetch.storeReadAt = now
	n.fetch.inFlight = true
	f.Timeout = maxBulkTimeout
	return f, true
}

// fetchFrom returns the router to ask for a chunk: the one that has sent the chunk before it, or a new one.
func (n *Node) fetchFrom(r ChunkRequest, now time.Time) (candidate, bool) {
	if p, known := n.peers[n.fetch.from]; known && r.Offset > 0 && p.status.Holds >= r.Revision && !now.Before(p.bulk.retryAt) {
		return candidate{n.fetch.from, p}, true
	}
	return n.pick(now, func(p *peer) bool { return p.known && p.status.Holds >= r.Revision })
}

// anyHolder reports whether any router that answers has a version of the large value, even if it refuses at present.
func (n *Node) anyHolder(revision store.Revision) bool {
	for _, p := range n.peers {
		if p.known && p.status.Holds >= revision && p.bulk.failures == 0 {
			return true
		}
	}
	return false
}

// StoreReadDone records the end of a read of the value from the store; its result is passed to [Node.Resolve].
func (n *Node) StoreReadDone(now time.Time) {
	n.fetch.inFlight = false
	n.fetch.nextAt = now.Add(fetchPause)
}

// FetchDone records the reply to a fetch, or nil if there was none. It returns the chunk with all the data once the value is
// complete: it is to be decoded against the value of its base, and passed to [Node.Resolve], or [Node.FetchFailed] is to be
// called.
func (n *Node) FetchDone(f Fetch, c *Chunk, took time.Duration, now time.Time) (*Chunk, bool) {
	n.fetch.inFlight = false
	n.fetch.nextAt = now.Add(fetchPause)
	p, known := n.peers[f.From]
	if !known {
		p = &peer{}
	}
	switch {
	case c == nil:
		p.bulk.fail(now)
		return nil, false
	case c.Missing:
		p.status.Holds = 0
		n.fetch.chunk = nil
		return nil, false
	case c.RetryAfter > 0:
		n.redirect(p, c, f.Revision, now)
		return nil, false
	case !n.append(f, c):
		n.fetch.chunk = nil
		p.bulk.fail(now)
		return nil, false
	}
	n.fetch.from = f.From
	p.bulk.succeed()
	p.recordRate(len(c.Data), took)
	n.fetch.nextAt = now.Add(n.downloadPause(len(c.Data), took))
	whole := n.fetch.chunk
	if len(whole.Data) < whole.EncodedSize {
		return nil, false
	}
	n.fetch.chunk = nil
	n.fetch.inFlight = true
	return whole, true
}

// redirect records that a router refuses to serve a chunk at present, and which others may have the value.
func (n *Node) redirect(p *peer, c *Chunk, revision store.Revision, now time.Time) {
	p.bulk.retryAt = now.Add(c.RetryAfter)
	n.fetch.nextAt = now
	for _, vm := range c.Others {
		if other, known := n.peers[vm]; known {
			other.known = true
			other.status.Holds = max(other.status.Holds, revision)
		}
	}
}

// append adds a chunk to the value that is being received, and reports whether it fits.
func (n *Node) append(f Fetch, c *Chunk) bool {
	if c.EncodedSize > delta.MaxBytes || len(c.Data) == 0 || f.Offset+len(c.Data) > c.EncodedSize {
		return false
	}
	if f.Offset == 0 {
		if c.Revision < f.Revision {
			return false
		}
		first := *c
		first.Data = slices.Clone(c.Data)
		n.fetch.chunk = &first
		return true
	}
	whole := n.fetch.chunk
	if whole == nil || f.Offset != len(whole.Data) || c.Revision != whole.Revision || c.Checksum != whole.Checksum {
		return false
	}
	whole.Data = append(whole.Data, c.Data...)
	return true
}

// FetchFailed records that a complete value could not be decoded.
func (n *Node) FetchFailed(from ids.VM, now time.Time) {
	n.fetch.inFlight = false
	if p, known := n.peers[from]; known {
		p.bulk.fail(now)
	}
}

// Value returns a version of the large value that the node has, or nil.
func (n *Node) Value(revision store.Revision) []byte {
	if v := n.versions.get(revision); v != nil {
		return v.value
	}
	return nil
}

// recordRate records the rate of a chunk.
func (p *peer) recordRate(bytes int, took time.Duration) {
	if took <= 0 {
		return
	}
	rate := BytesPerSecond(float64(bytes) / took.Seconds())
	if p.rate == 0 {
		p.rate = rate
	}
	p.rate += rateWeight * (rate - p.rate)
}

// downloadPause returns the pause after a chunk that keeps a fetch within its share of the link.
func (n *Node) downloadPause(bytes int, took time.Duration) time.Duration {
	return max(0, (downloadShare*n.o.Link).transferTime(bytes)-took)
}
