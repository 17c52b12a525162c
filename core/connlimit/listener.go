// Package connlimit bounds the connections of a listener. At the bound it closes the connection that has been without traffic for
// the longest time, so that idle or stalled connections do not keep others out.
//
// # Usage
//
//	l = connlimit.New(l, 64, clock)
//	err := server.Serve(l)
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Listener is a listener whose connections are bounded.
type Listener struct {
	net.Listener
	bound int
	clock clockwork.Clock

	mu   sync.Mutex
	open map[*conn]struct{}
}

// New returns a listener that has at most the given number of open connections.
func New(l net.Listener, bound int, clock clockwork.Clock) *Listener {
	return &Listener{Listener: l, bound: bound, clock: clock, open: map[*conn]struct{}{}}
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	c.touch()
	if quietest := l.add(c); quietest != nil {
		_ = quietest.Close()
	}
	return c, nil
}

// add adds a connection, and returns the one to close for it, or nil.
func (l *Listener) add(c *conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	if len(l.open) <= l.bound {
		return nil
	}
	var quietest *conn
	for o := range l.open {
		if o != c && (quietest == nil || o.usedAt.Load() < quietest.usedAt.Load()) {
			quietest = o
		}
	}
	if quietest != nil {
		delete(l.open, quietest)
	}
	return quietest
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is a connection of a [Listener].
type conn struct {
	net.Conn
	listener *Listener
	// usedAt is the time of the last traffic in nanoseconds.
	usedAt atomic.Int64
}

func (c *conn) touch() { c.usedAt.Store(c.listener.clock.Now().UnixNano()) }

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// CloseWrite closes the sending side, as [net.TCPConn.CloseWrite] does. [net/http.Server] uses it to end an answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// DefaultBound is the bound of a listener for other processes of the site or for callers of a router that has no setting for it.
// A site has up to 480 routers and 100 engines, each with a few connections.
const DefaultBound = 2048

// HeaderTimeout and IdleTimeout are the times that a server of such a listener gives a header and an idle connection.
const (
	HeaderTimeout = time.Minute
	IdleTimeout   = 2 * time.Minute
)
