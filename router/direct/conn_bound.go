package direct

import (
	"bytes"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bilberrylug.dev/core/memory"
)

const (
	// leavingShare is the part of the bound, as a divisor, that only connections which are about to be closed may take. The connection of
	// a refused request lingers for half a second, so that its caller can read the refusal.
	leavingShare = 5
	// closeShare is the part of the connections, as a divisor, that are closed at once when the bound is met, so that a crowd that
	// opens many connections does not have all of them compared for each.
	closeShare = 32
	// freeHeaderBytes and freeHeaderLines are the parts of a header that are not accounted for, lineBytes what each further line takes
	// beside its text.
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 64
	lineBytes       = 128
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of a caller's connection. What a caller sends while its request is
	// served, and what it does not read, counts as the process's memory. Buffers without a size grow to some megabytes each.
	receiveBuffer = 64 << 10
	sendBuffer    = 128 << 10
)

// controlFunc configures the socket of a listener.
type controlFunc = func(network, address string, c syscall.RawConn) error

// limitBuffers limits the buffers of the connections that a listener accepts, which have those of the listener's socket.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
		)
	})
	return errors.Join(controlErr, err)
}

// add adds a connection, and closes others if the bound is met. It reports false if there is no room.
func (c *callerConns) add(cc *callerConn) bool {
	if c.bound.Load() > 0 && c.full() && !c.makeRoom() {
		c.memory.recordClosed(cc.RemoteAddr().String(), "refused")
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[cc] = struct{}{}
	return true
}

// full reports whether there is no room for another connection. A part of the bound is only for connections that are about to be closed.
func (c *callerConns) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := c.bound.Load()
	share := bound / leavingShare
	return int64(len(c.open))-min(c.leaving.Load(), share) >= bound-share
}

// makeRoom closes the connections that have been idle or without a whole header for the longest time. If all are served, it sheds the
// body that has made no progress for the longest time. It reports false if there is still no room.
func (c *callerConns) makeRoom() bool {
	type candidate struct {
		conn  *callerConn
		since time.Time
	}
	var list []candidate
	for _, cc := range c.snapshot() {
		if since, ok := cc.waitsSince(); ok {
			list = append(list, candidate{cc, since})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return a.since.Compare(b.since) })
	closed, enough := int64(0), c.bound.Load()/closeShare
	for _, o := range list {
		if closed > enough {
			break
		}
		if reason, ok := o.conn.evict(); ok {
			c.memory.recordClosed(o.conn.RemoteAddr().String(), reason)
			closed++
		}
	}
	if closed == 0 {
		if h := c.memory.account.ShedSlowest(c.clock.Now()); h != nil {
			h.Notify()
		}
	}
	return !c.full()
}

// leave takes the connection of a request, which is closed after the answer, out of the bound.
func (c *callerConns) leave(r *http.Request) {
	if cc, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		cc.setLeaving(true)
	}
}

// count returns the number of open connections.
func (c *callerConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// waitsSince returns since when the connection is idle or its header is awaited, and false if a request is served.
func (c *callerConn) waitsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.current != noLimit && !c.leaving.Load()
}

// evict closes the connection unless a request is served or has arrived. As with a time limit, an idle connection only has its wait
// ended, since Read may have taken a request from the socket and not have said so yet.
func (c *callerConn) evict() (reason string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == noLimit || c.leaving.Load() || !c.begun && c.readable() {
		return "", false
	}
	c.setLeaving(true)
	reason = string(c.current)
	if c.begun {
		_ = c.Conn.Close()
		return reason, true
	}
	c.expired = true
	_ = c.SetReadDeadline(c.conns.clock.Now())
	return reason, true
}

// setLeaving changes whether the connection is about to be closed.
func (c *callerConn) setLeaving(leaving bool) {
	if !c.leaving.CompareAndSwap(!leaving, leaving) {
		return
	}
	if leaving {
		c.conns.leaving.Add(1)
	} else {
		c.conns.leaving.Add(-1)
	}
}

// headerRead stops the time limit for the header. What the header holds is no longer shed.
func (c *callerConn) headerRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLimit(noLimit)
	if c.holder != nil {
		c.holder.Complete()
	}
}

// end records that the server has closed the connection or handed it over.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLimit(noLimit)
	c.setLeaving(false)
	c.releaseHeader()
}

// headerSize is the size of a header.
type headerSize struct {
	bytes, lines int
	// reserved is what is reserved for it.
	reserved int
}

// needed returns what is to be reserved for the header.
func (s headerSize) needed() int {
	return max(0, s.bytes-freeHeaderBytes) + lineBytes*max(0, s.lines-freeHeaderLines)
}

// countHeader accounts for bytes of a header. A connection whose header cannot be held is closed. What there is no room for yet is counted
// with the next bytes. The caller must hold c.mu.
func (c *callerConn) countHeader(p []byte) {
	c.header.bytes += len(p)
	c.header.lines += bytes.Count(p, []byte{'\n'})
	more := c.header.needed() - c.header.reserved
	if more <= 0 {
		return
	}
	if c.holder == nil {
		// The function is called while the lock of another connection may be held, so that it takes none.
		c.holder = c.conns.memory.account.Open(func() {
			c.conns.memory.recordShed(c.RemoteAddr().String())
			c.setLeaving(true)
			_ = c.Conn.Close()
		}, c.conns.clock.Now())
	}
	shed, granted := c.conns.memory.account.Grow(c.holder, memory.Bytes(more), c.conns.clock.Now())
	notifyAll(shed)
	if granted {
		c.header.reserved += more
	}
}

// releaseHeader returns what the header holds. The caller must hold c.mu.
func (c *callerConn) releaseHeader() {
	c.header = headerSize{}
	if c.holder != nil {
		c.holder.Release()
		c.holder = nil
	}
}
