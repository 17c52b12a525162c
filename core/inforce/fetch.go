package inforce

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
	if !h.Wants(head.Revision) {
		return false, nil
	}
	bodies := make(map[string][]byte)
	for part := range slices.Chunk(h.Missing(head), maxChunksPerFetch) {
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
	}
	body, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	reply.Head = body
	return reply, nil
}
