package direct

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
)

// callerConns closes the connections of callers that take longer than the configuration allows to send a header, or that are
// idle for longer. A connection on which a request has arrived is not closed before the request is answered.
type callerConns struct {
	clock  clockwork.Clock
	log    *event.Log
	limits func() routing.Limits
	// memory accounts for large headers, and sheds bodies that arrive if all connections have one.
	memory *callerMemory
	// bound is the number of connections, zero for no bound. leaving counts the open ones that are about to be closed.
	bound   atomic.Int64
	leaving atomic.Int64

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns(st *state) *callerConns {
	c := &callerConns{
		clock: st.clock, log: st.log, open: map[*callerConn]struct{}{}, memory: st.callerMemory,
		limits: func() routing.Limits {
			if cfg := st.config.Load(); cfg != nil {
				return cfg.Limits
			}
			return routing.Limits{}
		},
	}
	c.bound.Store(int64(st.callerBound))
	return c
}

// listener returns a listener whose connections have the limits.
func (c *callerConns) listener(l net.Listener) net.Listener { return callerListener{l, c} }

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements [net.Listener]. A connection for which there is no room is closed at once.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cc := &callerConn{Conn: conn, conns: l.conns, current: limitHeader, since: l.conns.clock.Now()}
		if l.conns.add(cc) {
			return cc, nil
		}
		_ = conn.Close()
	}
}

// snapshot returns the open connections.
func (c *callerConns) snapshot() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

func (c *callerConns) forget(cc *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, cc)
}

// busy returns the number of connections on which a request has arrived, if only in part, and is not fully answered.
func (c *callerConns) busy() (n int64) {
	for _, cc := range c.snapshot() {
		if cc.busy() {
			n++
		}
	}
	return n
}

// closeAll closes all connections at once.
func (c *callerConns) closeAll() {
	for _, cc := range c.snapshot() {
		_ = cc.Conn.Close()
	}
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
		cc.idle()
	case http.StateClosed:
		cc.end()
		_ = cc.Conn.Close()
		c.forget(cc)
	case http.StateHijacked:
		cc.end()
		c.forget(cc)
	}
}

// headerRead stops the time limit for the header of a request.
func (c *callerConns) headerRead(r *http.Request) {
	if cc, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		cc.headerRead()
	}
}

// connLimit names what a time limit of a connection applies to.
type connLimit string

const (
	noLimit     connLimit = ""
	limitHeader connLimit = "header"
	limitIdle   connLimit = "idle"
)

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
