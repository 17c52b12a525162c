package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
)

// callerConns closes the connections of callers that take longer than the configuration allows to send a header, or that are
// idle for longer.
type callerConns struct {
	clock  clockwork.Clock
	log    *event.Log
	limits func() routing.Limits
}

func newCallerConns(st *state) *callerConns {
	return &callerConns{
		clock: st.clock, log: st.log,
		limits: func() routing.Limits {
			if cfg := st.config.Load(); cfg != nil {
				return cfg.Limits
			}
			return routing.Limits{}
		},
	}
}

// listener returns a listener whose connections have the limits.
func (c *callerConns) listener(l net.Listener) net.Listener { return callerListener{l, c} }

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements [net.Listener].
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, conns: l.conns}, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// context adds the connection to the context of its requests. It is meant for [http.Server].ConnContext.
func (c *callerConns) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// stateChanged starts and stops the time limits of a connection. It is meant for [http.Server].ConnState.
func (c *callerConns) stateChanged(conn net.Conn, s http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew, http.StateActive:
		cc.limit(limitHeader)
	case http.StateIdle:
		cc.limit(limitIdle)
	case http.StateClosed, http.StateHijacked:
		cc.limit(noLimit)
	}
}

// headerRead stops the time limit for the header of a request.
func (c *callerConns) headerRead(r *http.Request) {
	if cc, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		cc.limit(noLimit)
	}
}

// connLimit names what a time limit of a connection applies to.
type connLimit string

const (
	noLimit     connLimit = ""
	limitHeader connLimit = "header"
	limitIdle   connLimit = "idle"
)

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	conns *callerConns

	mu sync.Mutex
	// current is the limit in force, and timer its timer, or nil.
	current connLimit
	timer   clockwork.Timer
	// set counts the limits, so that a timer that has just been replaced is told from the current one.
	set uint64
}

// Read implements [net.Conn]. The first bytes after an idle time belong to the next header.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.current == limitIdle {
			c.setLimit(limitHeader)
		}
	}
	return n, err
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
	c.current, c.timer = l, nil
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
// process that is short of CPU may run the timer first.
func (c *callerConn) expire(set uint64, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set != set {
		return
	}
	if c.current == limitIdle && c.readable() {
		c.setLimit(limitHeader)
		return
	}
	c.conns.log.Write(event.CallerClosed, "remote", c.RemoteAddr().String(), "limit", string(c.current), "after", after.String())
	_ = c.Close()
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

// checkHeaderSize returns a fault if the header of a request is larger than the configuration allows.
func checkHeaderSize(r *http.Request, limit int) error {
	// The parts of the request line and of a header line that are not in the strings.
	const requestLineBytes, lineBytes = 12, 4
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineBytes
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + lineBytes
		}
	}
	if limit > 0 && size > limit {
		return fault.New(fault.HeaderTooLarge, "%d bytes, at most %d", size, limit)
	}
	return nil
}
