package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrylug.dev/core/fault"
)

// Request is a request to be sent to an upstream.
type Request struct {
	// ID identifies the request in its responses.
	ID     string
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the body in parts, which are sent one after the other.
	Body [][]byte
	// Chunked is set if the caller sent the body with chunked encoding.
	Chunked bool
	// Mismatched reports whether a response belongs to another request. Such responses are read and discarded, up to
	// [Limits].DiscardBytes.
	Mismatched func(r *http.Response) bool
}

// ErrNotSent marks a failure before any part of the request was sent.
var ErrNotSent = errors.New("request not sent")

// ErrPartlySent marks a failure before the whole request was sent.
var ErrPartlySent = errors.New("request not sent in whole")

const (
	writeBufferSize = 4 << 10
	// maxMismatched bounds the responses to other requests that one call of [Conn.Do] skips.
	maxMismatched = 2
	// writeTimeout bounds the sending of one request; a healthy upstream reads it within one round trip.
	writeTimeout = 5 * time.Second
)

// Do sends a request and reads the header of its response. It closes the connection if ctx ends before that. An error that
// wraps [ErrNotSent] means that no part of the request was sent, one that wraps [ErrPartlySent] that its end was not. The error is a reply_too_large fault if the header of the
// response, with all interim responses before it, exceeds [Limits].HeaderBytes.
func (c *Conn) Do(ctx context.Context, req Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.SetWriteDeadline(c.pool.clock.Now().Add(writeTimeout)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.carried = true
	if err := c.write(req); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPartlySent, err)
	}
	c.lastID = req.ID
	for range maxMismatched + 1 {
		resp, err := c.readHeader(req.Method)
		if err != nil {
			return nil, fmt.Errorf("read response header: %w", err)
		}
		c.resp = resp
		c.parseKeepAlive(resp.Header)
		if !req.Mismatched(resp) {
			return resp, nil
		}
		c.noReuse = true
		if err := c.discard(resp.Body); err != nil {
			return nil, fmt.Errorf("skip response to another request: %w", err)
		}
		if resp.Close || CloseDelimited(resp) {
			break
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// discard reads a body to its end, or fails if it is too long.
func (c *Conn) discard(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, c.pool.limits.DiscardBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return fault.New(fault.ReplyTooLarge, "a discarded body of more than %d bytes, upstreams.max_discarded_bytes", n-1)
}

// errStatus ends a request whose response has a status that HTTP does not have, or switches to a protocol that was not asked for.
var errStatus = errors.New("the status of the response is not valid")

const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// readHeader reads the header of the next final response and skips interim (1xx) ones. The limit applies to all of them together.
func (c *Conn) readHeader(method string) (*http.Response, error) {
	c.headerLeft = c.pool.limits.HeaderBytes
	defer func() { c.headerLeft = unlimited }()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil && c.headerLeft == 0 {
			return nil, c.headerTooLarge()
		}
		if err != nil {
			return nil, err
		}
		switch s := resp.StatusCode; {
		case s < minStatus, s > maxStatus, s == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: %d", errStatus, s)
		case s >= http.StatusOK:
			return resp, nil
		}
	}
}

func (c *Conn) write(req Request) error {
	bw := bufio.NewWriterSize(c.Conn, writeBufferSize)
	_, _ = bw.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(bw); err != nil {
		return err
	}
	size := 0
	for _, part := range req.Body {
		size += len(part)
	}
	switch {
	case req.Chunked:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if size > 0 {
			_, _ = bw.WriteString(strconv.FormatInt(int64(size), 16) + "\r\n")
			writeParts(bw, req.Body)
			_, _ = bw.WriteString("\r\n")
		}
		_, _ = bw.WriteString("0\r\n\r\n")
	case size > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n\r\n")
		writeParts(bw, req.Body)
	default:
		_, _ = bw.WriteString("\r\n")
	}
	return bw.Flush()
}

// writeParts writes the parts of a body. The writer keeps its first error.
func writeParts(bw *bufio.Writer, parts [][]byte) {
	for _, part := range parts {
		_, _ = bw.Write(part)
	}
}
