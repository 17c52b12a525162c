// Package plain speaks to the plain service beside this agent.
//
// # Usage
//
//	reply, err := plain.New("http://127.0.0.1:8101").Call(ctx, plain.Request{Method: "GET", Path: "/prices/7"})
package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ledger"
)

const (
	maxReplyBytes = 4 << 20
	idleConns     = 64
)

// Client is the connection to one service. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client. The transport never repeats a call by itself: keep-alive connections that were closed by the
// service are noticed only by an idempotent request, so every call here is made without a replayable body.
func New(address string) *Client {
	return &Client{address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}}
}

// Request is one call.
type Request struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// onceReader hides the body's type, so that the transport cannot rewind it and send the request again.
type onceReader struct{ io.Reader }

// Call sends one call. A fault of kind no_upstream means that it was not sent, of kind call_outcome_unknown that it
// may have run.
func (c *Client) Call(ctx context.Context, r Request) (ledger.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.address+r.Path, onceReader{bytes.NewReader(r.Body)})
	if err != nil {
		return ledger.Reply{}, fault.Wrap(fault.BadRequest, err, "%s %s", r.Method, r.Path)
	}
	req.ContentLength = int64(len(r.Body))
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ledger.Reply{}, callFault(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return ledger.Reply{}, fault.Wrap(fault.CallOutcomeUnknown, err, "reading the reply")
	}
	return ledger.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// callFault tells a call that could not connect, and so was not sent, from one that may have run.
func callFault(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(fault.NoUpstream, err, "connecting")
	}
	return fault.Wrap(fault.CallOutcomeUnknown, err, "calling")
}
