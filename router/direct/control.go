package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/router/upstream"
)

// control makes a call of the router's own at an upstream and returns what the upstream says of itself, also when it refuses
// the call, and the body.
func (e *edge) control(ctx context.Context, u fleet.Upstream, call relay.Call) (relay.Reply, []byte, error) {
	conn, err := e.pool.Get(ctx, u.Address)
	if err != nil {
		return relay.Reply{}, nil, err
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	//nolint:bodyclose // The connection owns the body: Done or Close ends it.
	resp, err := conn.Do(ctx, upstream.Request{
		Method: call.Method, Target: call.Target, Host: u.Address, Header: call.Header, Body: call.Body,
		Mismatched: func(r *http.Response) bool { return e.dialect.Reply(r).Request != "" },
	})
	if err != nil {
		conn.Close()
		return relay.Reply{}, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		conn.Close()
		return relay.Reply{}, nil, err
	}
	if stop() {
		conn.Release()
	}
	if resp.StatusCode != http.StatusOK {
		return e.dialect.Reply(resp), nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return e.dialect.Reply(resp), body, nil
}
