package dissemination

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// maxOthers bounds the routers that a refusal names.
	maxOthers = 4
	// The parts of the burst that requesters may use. A value that a router has begun to fetch is completed first, so that it
	// becomes another source soon; wide routers are better sources than narrow ones.
	burstToContinue = 1.0
	burstToWide     = 0.5
	burstToNarrow   = 0.25
)

// burstFor returns the part of the burst that the requester of a chunk may use.
func burstFor(r ChunkRequest) float64 {
	switch {
	case r.Offset > 0:
		return burstToContinue
	case r.Narrow:
		return burstToNarrow
	default:
		return burstToWide
	}
}

// Offer is the reply to a fetch. Its value may have to be compressed first, which takes some milliseconds.
type Offer struct {
	request  ChunkRequest
	revision store.Revision
	base     store.Revision
	encoding *encoding
	refusal  *Chunk
}

// ServeFetch returns the offer for a requested chunk.
func (n *Node) ServeFetch(r ChunkRequest, now time.Time) Offer {
	v := n.versions.get(r.Revision)
	if newest := n.versions.newest(); r.Offset == 0 && newest >= r.Revision {
		v = n.versions.get(newest)
	}
	if v == nil {
		return Offer{refusal: &Chunk{Missing: true}}
	}
	if wait := n.uploads.wait(burstFor(r), now); wait > 0 {
		return Offer{refusal: &Chunk{RetryAfter: wait, Others: n.holders(v.revision)}}
	}
	e, base := n.versions.encoding(v, r.Base)
	n.uploads.take(maxChunkBytes, now)
	return Offer{request: r, revision: v.revision, base: base, encoding: e}
}

// holders returns some routers that have a version of the large value.
func (n *Node) holders(revision store.Revision) []ids.VM {
	var out []ids.VM
	for vm, p := range n.peers {
		if !p.seed && p.status.Holds >= revision && len(out) < maxOthers {
			out = append(out, vm)
		}
	}
	return out
}

// Chunk returns the requested chunk. It may be called without holding the node's lock.
func (o Offer) Chunk() Chunk {
	if o.refusal != nil {
		return *o.refusal
	}
	form, checksum := o.encoding.get()
	if o.request.Offset > len(form.Data) || o.request.Offset > 0 && o.request.Checksum != checksum {
		return Chunk{Missing: true}
	}
	c := Chunk{Revision: o.revision, Base: o.base, Encoded: form, EncodedSize: len(form.Data), Checksum: checksum}
	c.Data = form.Data[o.request.Offset:min(len(form.Data), o.request.Offset+maxChunkBytes)]
	return c
}
