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

// Request is a request as it is sent.
type Request struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked tells that the caller sent the body in chunks.
	Chunked bool
	// Mismatched tells whether a response belongs to another request; such responses are read and dropped.
	Mismatched func(r *http.Response) bool
}

// ErrNotSent marks a failure before anything of the request was sent.
var ErrNotSent = errors.New("nothing of the request was sent")

const (
	writeBuffer = 4 << 10
	// maxForeign bounds the responses to other requests that are skipped on one connection.
	maxForeign = 2
	// writeTime bounds the sending of one request; a sound upstream reads within its round trip.
	writeTime = 5 * time.Second
)

// Do sends a request and reads the response's header. The connection is closed when the context ends before that.
func (c *Conn) Do(ctx context.Context, out Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.SetWriteDeadline(c.pool.clock.Now().Add(writeTime)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.write(out); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	for range maxForeign + 1 {
		resp, err := c.readHeader(out.Method)
		if err != nil {
			return nil, fmt.Errorf("read header: %w", err)
		}
		c.resp = resp
		c.noteKeepAlive(resp.Header)
		if !out.Mismatched(resp) {
			return resp, nil
		}
		c.spent = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("skip a response to another request: %w", err)
		}
		if resp.Close || c.unframed() {
			break
		}
	}
	return nil, errors.New("only responses to other requests came")
}

// readHeader skips interim responses.
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

func (c *Conn) write(out Request) error {
	bw := bufio.NewWriterSize(c.Conn, writeBuffer)
	_, _ = bw.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	if err := out.Header.Write(bw); err != nil {
		return err
	}
	switch {
	case out.Chunked:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(out.Body) > 0 {
			_, _ = bw.WriteString(strconv.FormatInt(int64(len(out.Body)), 16) + "\r\n")
			_, _ = bw.Write(out.Body)
			_, _ = bw.WriteString("\r\n")
		}
		_, _ = bw.WriteString("0\r\n\r\n")
	case len(out.Body) > 0 || out.Method == http.MethodPost || out.Method == http.MethodPut || out.Method == http.MethodPatch:
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n\r\n")
		_, _ = bw.Write(out.Body)
	default:
		_, _ = bw.WriteString("\r\n")
	}
	return bw.Flush()
}
