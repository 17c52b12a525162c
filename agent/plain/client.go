// Package plain is the HTTP client for the agent's plain service.
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
	// maxReplyBytes bounds the body of a reply, maxHeaderBytes its header.
	maxReplyBytes  = 4 << 20
	maxHeaderBytes = 64 << 10
)

// Client calls one service. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the service at address, a base URL such as http://127.0.0.1:8101. The transport must not retry
// a call by itself, as net/http does with a replayable request if the service has closed a keep-alive connection. Every call
// is therefore sent with a body that cannot be replayed. Each call has its own connection: replies do not say which call they
// answer, so that a late second copy of one would pass as the reply to the next call.
func New(address string) *Client {
	return &Client{address, &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}}}
}

// maxStatus is the highest status that HTTP has.
const maxStatus = 599

// Request is the HTTP request of one call.
type Request struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// singleUseReader hides the type of the body from net/http, so that the transport cannot rewind it to retry the request.
type singleUseReader struct{ io.Reader }

// Call sends one call. A fault of kind no_upstream means that the call was not sent, and one of kind
// call_outcome_unknown that it may have run.
func (c *Client) Call(ctx context.Context, r Request) (ledger.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.address+r.Path, singleUseReader{bytes.NewReader(r.Body)})
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
		return ledger.Reply{}, classifyError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = fault.New(fault.ReplyTooLarge, "more than %d bytes", maxReplyBytes)
	}
	if err != nil {
		return ledger.Reply{}, fault.Wrap(fault.CallOutcomeUnknown, err, "reading the reply")
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return ledger.Reply{}, fault.New(fault.CallOutcomeUnknown, "a reply with status %d", resp.StatusCode)
	}
	return ledger.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// classifyError distinguishes a failed connection attempt, where the call was not sent, from a call that may have run.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(fault.NoUpstream, err, "connecting")
	}
	return fault.Wrap(fault.CallOutcomeUnknown, err, "calling")
}
