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
)

// Request is a request to be sent to an upstream.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked is set if the caller sent the body with chunked encoding.
	Chunked bool
	// Mismatched reports whether a response belongs to another request; such responses are read and discarded.
	Mismatched func(r *http.Response) bool
}

// ErrNotSent marks a failure before any part of the request was sent.
var ErrNotSent = errors.New("request not sent")

const (
	writeBufferSize = 4 << 10
	// maxMismatched bounds the responses to other requests that one call of [Conn.Do] skips.
	maxMismatched = 2
	// writeTimeout bounds the sending of one request; a healthy upstream reads it within one round trip.
	writeTimeout = 5 * time.Second
)

// Do sends a request and reads the header of its response. It closes the connection if ctx ends before that. An error that
// wraps [ErrNotSent] means that no part of the request was sent.
func (c *Conn) Do(ctx context.Context, req Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.SetWriteDeadline(c.pool.clock.Now().Add(writeTimeout)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.write(req); err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
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
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("skip response to another request: %w", err)
		}
		if resp.Close || c.closeDelimited() {
			break
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// readHeader reads the header of the next final response and skips interim (1xx) ones, except 101.
func (c *Conn) readHeader(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
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
	switch {
	case req.Chunked:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(req.Body) > 0 {
			_, _ = bw.WriteString(strconv.FormatInt(int64(len(req.Body)), 16) + "\r\n")
			_, _ = bw.Write(req.Body)
			_, _ = bw.WriteString("\r\n")
		}
		_, _ = bw.WriteString("0\r\n\r\n")
	case len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n\r\n")
		_, _ = bw.Write(req.Body)
	default:
		_, _ = bw.WriteString("\r\n")
	}
	return bw.Flush()
}
