package activeconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
)

// maxChunksPerFetch keeps a reply below the message limit of the connection.
const maxChunksPerFetch = 64

// Fetch takes the newest configuration from a peer and puts it in force.
func (h *Holder) Fetch(ctx context.Context, client wire.DRPCRouterClient, self ids.VM) (bool, error) {
	header := &wire.Header{Sender: string(self), Revision: uint64(h.Revision())}
	reply, err := client.Fetch(ctx, &wire.FetchRequest{Header: header, ServicesOnly: h.servicesOnly})
	if err != nil {
		return false, fmt.Errorf("fetch head: %w", err)
	}
	head := &declared.Head{}
	if err := json.Unmarshal(reply.GetHead(), head); err != nil {
		return false, fmt.Errorf("decode head: %w", err)
	}
	if !h.IsNewer(head.Revision) {
		return false, nil
	}
	if base := ids.Revision(reply.GetBaseRevision()); base > 0 {
		if err := h.completeHead(head, base, reply.GetChanged()); err != nil {
			return false, err
		}
	}
	bodies := make(map[string][]byte)
	for part := range slices.Chunk(h.MissingChunks(head), maxChunksPerFetch) {
		reply, err := client.Fetch(ctx, &wire.FetchRequest{Header: header, Chunks: part})
		if err != nil {
			return false, fmt.Errorf("fetch chunks: %w", err)
		}
		for _, c := range reply.GetChunks() {
			bodies[c.GetHash()] = c.GetBody()
		}
	}
	return h.Accept(head, bodies)
}

// Serve answers a peer's fetch from what is in force.
func (h *Holder) Serve(r *wire.FetchRequest) (*wire.FetchReply, error) {
	reply := &wire.FetchReply{}
	for _, hash := range r.GetChunks() {
		if body, held := h.Chunk(hash); held {
			reply.Chunks = append(reply.Chunks, &wire.Chunk{Hash: hash, Body: body})
		}
	}
	current := h.Current()
	if len(r.GetChunks()) > 0 || current == nil {
		return reply, nil
	}
	head := *current.Head
	head.History = nil
	if r.GetServicesOnly() {
		head.WorkspaceChunks = nil
	} else if changed, ok := h.changedSince(ids.Revision(r.GetHeader().GetRevision()), &head); ok {
		head.WorkspaceChunks = nil
		reply.BaseRevision = r.GetHeader().GetRevision()
		reply.Changed = changed
	}
	body, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	reply.Head = body
	return reply, nil
}

// chunksOf returns the workspace chunks of a recent revision.
func (h *Holder) chunksOf(r ids.Revision) ([]string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, past := range h.recent {
		if past.revision == r {
			return past.chunks, true
		}
	}
	return nil, false
}

// changedSince lists the chunks of a head that differ from a recent revision with as many chunks.
func (h *Holder) changedSince(base ids.Revision, head *declared.Head) ([]*wire.ChangedChunk, bool) {
	old, known := h.chunksOf(base)
	if !known || len(old) != len(head.WorkspaceChunks) {
		return nil, false
	}
	var changed []*wire.ChangedChunk
	for i, hash := range head.WorkspaceChunks {
		if hash != old[i] {
			changed = append(changed, &wire.ChangedChunk{Index: uint32(i), Hash: hash})
		}
	}
	return changed, true
}

// completeHead fills a head's workspace chunks from an own revision and the changed ones.
func (h *Holder) completeHead(head *declared.Head, base ids.Revision, changed []*wire.ChangedChunk) error {
	old, known := h.chunksOf(base)
	if !known {
		return fmt.Errorf("revision %d is not held, against which revision %d was sent", base, head.Revision)
	}
	head.WorkspaceChunks = slices.Clone(old)
	for _, c := range changed {
		if int(c.GetIndex()) >= len(old) {
			return fmt.Errorf("chunk %d of %d in revision %d", c.GetIndex(), len(old), head.Revision)
		}
		head.WorkspaceChunks[c.GetIndex()] = c.GetHash()
	}
	return nil
}
