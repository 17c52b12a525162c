package direct

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/memory"
)

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	conns *callerConns
	// leaving is set once the connection is about to be closed.
	leaving atomic.Bool

	mu sync.Mutex
	// current is the limit in force, or noLimit while a request is served, and timer its timer, or nil.
	current connLimit
	timer   clockwork.Timer
	// set counts the limits, so that a timer that has just been replaced is told from the current one.
	set uint64
	// begun is set once bytes of the request that current applies to have been read.
	begun bool
	// expired is set once a limit has ended the wait for a request.
	expired bool
	// since is when the limit in force began.
	since time.Time
	// header is the size of the header that is being read or was read last.
	header headerSize
	// holder is the place of a large header in the account of callers' memory, or nil.
	holder *memory.Holder
}

// Read implements [net.Conn]. The first bytes after an idle time belong to the next header. A deadline does not cut a request that
// has arrived: a process that is short of CPU may notice the deadline first.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.requestWaits() {
		if err := c.SetReadDeadline(c.conns.clock.Now().Add(headerTimeout)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.begun = true
		if c.current != noLimit {
			c.countHeader(p[:n])
		}
		if c.expired {
			c.setLeaving(false)
			c.expired = false
			if err := c.SetReadDeadline(c.conns.clock.Now().Add(headerTimeout)); err != nil {
				return n, err
			}
		}
		if c.current == limitIdle {
			c.setLimit(limitHeader)
		}
	}
	return n, err
}

// Close implements [net.Conn]. While a request is awaited or its header is read, it only ends the waiting: [http.Server] closes idle
// connections without a look at whether a request has arrived. What is read is served, and the connection is closed once the
// server's goroutine ends, which stateChanged is told.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == noLimit {
		return c.Conn.Close()
	}
	if c.begun {
		return nil
	}
	return c.SetReadDeadline(c.conns.clock.Now())
}

// requestWaits reports whether a request, of which nothing has been read, has arrived.
func (c *callerConn) requestWaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current != noLimit && !c.begun && c.readable()
}

func (c *callerConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current == noLimit || c.begun || c.readable()
}

// idle starts the wait for the next request.
func (c *callerConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
	c.releaseHeader()
	c.setLimit(limitIdle)
}

// CloseWrite closes the sending side, as [net.TCPConn.CloseWrite] does. [http.Server] uses it to end an answer before unread bytes
// of the request reset the connection.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// limit replaces the time limit of the connection.
func (c *callerConn) limit(l connLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLimit(l)
}

// setLimit replaces the time limit of the connection. The caller must hold c.mu.
func (c *callerConn) setLimit(l connLimit) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.set++
	c.current, c.timer, c.since = l, nil, c.conns.clock.Now()
	d := c.duration(l)
	if d <= 0 {
		return
	}
	set := c.set
	c.timer = c.conns.clock.AfterFunc(d, func() { c.expire(set, d) })
}

// duration returns the time that the configuration allows, or zero if there is no limit.
func (c *callerConn) duration(l connLimit) time.Duration {
	switch l {
	case limitHeader:
		return c.conns.limits().HeaderTimeout
	case limitIdle:
		return c.conns.limits().IdleTimeout
	case noLimit:
	}
	return 0
}

// expire closes the connection, unless the limit was replaced meanwhile, or a request has arrived that the server has not read yet: a
// process that is short of CPU may run the timer first. While nothing of a request is known to have been read it only ends the waiting, as
// Close does: Read may have taken a request from the socket and not have said so yet.
func (c *callerConn) expire(set uint64, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set != set {
		return
	}
	if !c.begun && c.readable() {
		c.setLimit(limitHeader)
		return
	}
	c.conns.log.Write(event.CallerClosed, "remote", c.RemoteAddr().String(), "limit", string(c.current), "after", after.String())
	if c.begun {
		_ = c.Conn.Close()
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(c.conns.clock.Now())
}

// readable reports whether bytes or the end of the stream wait in the socket.
func (c *callerConn) readable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}
