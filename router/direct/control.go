package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/router/upstream"
)

// maxControlBytes bounds the reply to a call of the router itself. The longest one lists the prompts in an engine's KV cache.
const maxControlBytes = 1 << 20

// controlCall sends a request of the router itself to an upstream and returns the reply's metadata and body. The metadata is
// also returned, with an error, if the status is not 200.
func (h *handler) controlCall(ctx context.Context, u fleet.Upstream, call relay.Call) (relay.Reply, []byte, error) {
	conn, err := h.pool.Get(ctx, u.Address, "")
	if err != nil {
		return relay.Reply{}, nil, err
	}
	return h.controlCallOn(ctx, conn, u, call)
}

// controlCallOn sends a request of the router itself on a connection, which it closes: a reply does not say which call it answers, so
// that a late second copy of it would pass as the reply to the next call.
func (h *handler) controlCallOn(ctx context.Context, conn connection, u fleet.Upstream, call relay.Call) (relay.Reply, []byte, error) {
	h.mu.Lock()
	h.rateLimits.Take(u.ID, h.clock.Now())
	h.mu.Unlock()
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	sentAt := h.boot.Now()
	//nolint:bodyclose // The connection owns the body: Release or Close ends it.
	resp, err := conn.Do(ctx, upstream.Request{
		Method: call.Method, Target: call.Target, Host: u.Address, Header: call.Header, Body: [][]byte{call.Body},
		Mismatched: func(r *http.Response) bool { return h.dialect.Reply(r).Request != "" },
	})
	if err != nil {
		return relay.Reply{}, nil, err
	}
	h.recordStatements(u, h.dialect.Reply(resp), sentAt)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes+1))
	if err == nil && len(body) > maxControlBytes {
		err = fault.New(fault.ReplyTooLarge, "a reply of more than %d bytes to a call of the router", maxControlBytes)
	}
	if err != nil {
		return relay.Reply{}, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return h.dialect.Reply(resp), nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return h.dialect.Reply(resp), body, nil
}
