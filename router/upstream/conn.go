package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is an HTTP/1.1 connection to an upstream that carries one request at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	br      *bufio.Reader
	resp    *http.Response
	// idleTimeout is the time after which the upstream closes the connection if it is idle.
	idleTimeout time.Duration
	idleSince   time.Time
	reused      bool
	// carried is set once a request has been sent on the connection.
	carried bool
	// noReuse excludes the connection from carrying another request.
	noReuse bool
	// lastID is the ID of the request that the connection carried last.
	lastID string
	// headerLeft is the number of bytes that may still be read of a response header, or unlimited.
	headerLeft int64
	onStall    StallFunc
	// stallErr is the error of the stall function, which all later reads return: net/textproto ignores an error of a read that
	// follows a part of a line.
	stallErr error
	// stallCheckDue is set while a requested stall check has not been made yet.
	stallCheckDue atomic.Bool
}

// unlimited is the value of Conn.headerLeft while no header is being read.
const unlimited = -1

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection immediately, which also cancels a request in progress at the upstream.
func (c *Conn) Close() { _ = c.Conn.Close() }

// Release returns the connection to the pool if it can carry another request, or closes it. The response body must have
// been read to its end.
func (c *Conn) Release() {
	c.onStall = nil
	if c.noReuse || c.resp == nil || c.resp.Close || c.br.Buffered() > 0 || CloseDelimited(c.resp) {
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.pool.Put(c)
}

// CloseDelimited reports whether the end of a response body is marked by the closing of the connection.
func CloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// expired reports whether the connection has been idle for too long to be reused safely.
func (c *Conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) >= time.Duration(float64(c.idleTimeout)*idleTimeoutFraction)
}

// usable reports whether an idle connection is still open and has no unread data, as far as the local socket knows.
func (c *Conn) usable(now time.Time) bool {
	if c.expired(now) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		// Any result other than EAGAIN is an EOF, a reset, or data that belongs to no request.
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// parseKeepAlive sets idleTimeout to the timeout that the upstream states in its Keep-Alive header.
func (c *Conn) parseKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}
