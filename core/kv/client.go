package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"bilberrylug.dev/core/fault"
)

const (
	// callTimeout bounds a call; a watch may take its wait in addition.
	callTimeout = 2 * time.Second
	// maxBodyBytes bounds the body of a reply, maxHeaderBytes its header.
	maxBodyBytes    = 8 << 20
	maxHeaderBytes  = 16 << 10
	sessionTTLParam = "ttl"
)

// Options configure a [Client]. Address is the base URL of the service.
type Options struct {
	Address string
	Limiter *CallLimiter
}

// Client is the HTTP implementation of [Store].
type Client struct {
	address string
	limiter *CallLimiter
	http    *http.Client
}

var _ Store = (*Client)(nil)

// New returns a client of the service at the given address. Each call has its own connection: replies do not say which call
// they answer, so that a late second copy of one, such as the success of a write, would pass as the reply to the next call.
func New(o Options) *Client {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{address: o.Address, limiter: o.Limiter, http: &http.Client{Transport: transport}}
}

// Get implements [Store].
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return call[Value](ctx, c, request{kind: "read", limiter: c.limiter.reads, method: http.MethodGet, path: "/v1/kv/" + key})
}

// Watch implements [Store].
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error) {
	return call[Value](ctx, c, request{
		kind: "watch", limiter: c.limiter.reads, method: http.MethodGet, path: "/v1/kv/" + key,
		query: watchQuery(index, wait), timeout: wait + callTimeout,
	})
}

// CompareAndSwap implements [Store].
func (c *Client) CompareAndSwap(ctx context.Context, key string, body []byte, index uint64) (Value, bool, error) {
	reply, err := call[writeReply](ctx, c, request{
		kind: "write", limiter: c.limiter.writes, method: http.MethodPut, path: "/v1/kv/" + key,
		query: url.Values{"cas": {strconv.FormatUint(index, 10)}}, body: body,
	})
	return reply.Value, reply.OK, err
}

// OpenSession implements [Store].
func (c *Client) OpenSession(ctx context.Context, ttl time.Duration) (Session, error) {
	reply, err := call[sessionReply](ctx, c, request{
		kind: "write", limiter: c.limiter.writes, method: http.MethodPut, path: "/v1/session",
		query: url.Values{sessionTTLParam: {ttl.String()}},
	})
	return reply.ID, err
}

// RenewSession implements [Store].
func (c *Client) RenewSession(ctx context.Context, s Session) (bool, error) {
	reply, err := call[writeReply](ctx, c, request{
		kind: "write", limiter: c.limiter.writes, method: http.MethodPut, path: "/v1/session/" + string(s) + "/renew",
	})
	return reply.OK, err
}

// Acquire implements [Store].
func (c *Client) Acquire(ctx context.Context, key string, body []byte, s Session) (Value, bool, error) {
	reply, err := call[writeReply](ctx, c, request{
		kind: "write", limiter: c.limiter.writes, method: http.MethodPut, path: "/v1/kv/" + key,
		query: url.Values{"acquire": {string(s)}}, body: body,
	})
	return reply.Value, reply.OK, err
}

// VMs implements [Store].
func (c *Client) VMs(ctx context.Context, index uint64, wait time.Duration) (VMList, error) {
	return call[VMList](ctx, c, request{
		kind: "watch", limiter: c.limiter.reads, method: http.MethodGet, path: "/v1/vms",
		query: watchQuery(index, wait), timeout: wait + callTimeout,
	})
}

type writeReply struct {
	OK    bool  `json:"ok"`
	Value Value `json:"value"`
}

type sessionReply struct {
	ID Session `json:"id"`
}

type request struct {
	kind    string
	limiter *rate.Limiter
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

func watchQuery(index uint64, wait time.Duration) url.Values {
	return url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {wait.String()}}
}

func call[T any](ctx context.Context, c *Client, r request) (T, error) {
	var out T
	if err := c.limiter.wait(ctx, r.kind, r.limiter); err != nil {
		return out, err
	}
	if r.timeout == 0 {
		r.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	body, err := c.do(ctx, r)
	if err != nil {
		return out, fault.Wrap(fault.StoreUnavailable, err, "%s %s", r.method, r.path)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fault.Wrap(fault.StoreUnavailable, err, "decode %s", r.path)
	}
	return out, nil
}

func (c *Client) do(ctx context.Context, r request) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, c.address+r.path+"?"+r.query.Encode(), bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, fault.New(fault.ReplyTooLarge, "more than %d bytes", maxBodyBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return body, nil
}
