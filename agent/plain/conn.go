package plain

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// errReset ends a reply whose connection was closed before the call had been sent in whole.
var errReset = errors.New("the connection ended while the call was being sent")

// conn is a connection of a call whose reply may end with it. The kernel reports a reset once: if the writer of the call gets it, the
// reader sees the connection end as it does after a complete reply.
type conn struct {
	net.Conn
	// writing is set during a write, and stays set after one that failed.
	writing atomic.Bool
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Write implements [io.Writer].
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	if err == nil {
		c.writing.Store(false)
	}
	return n, err
}

// Read implements [io.Reader].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.writing.Load() {
		return n, errReset
	}
	return n, err
}
