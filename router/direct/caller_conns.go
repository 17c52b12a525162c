package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
)

// callerConns closes the connections of callers that take longer than the configuration allows to send a header, or that are
// idle for longer. It is safe for concurrent use.
type callerConns struct {
	clock  clockwork.Clock
	log    *event.Log
	limits func() routing.Limits

	mu     sync.Mutex
	timers map[net.Conn]clockwork.Timer
}

func newCallerConns(st *state) *callerConns {
	return &callerConns{
		clock: st.clock, log: st.log, timers: map[net.Conn]clockwork.Timer{},
		limits: func() routing.Limits {
			if cfg := st.config.Load(); cfg != nil {
				return cfg.Limits
			}
			return routing.Limits{}
		},
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
	switch s {
	case http.StateNew, http.StateActive:
		c.limit(conn, "header", c.limits().HeaderTimeout)
	case http.StateIdle:
		c.limit(conn, "idle", c.limits().IdleTimeout)
	case http.StateClosed, http.StateHijacked:
		c.limit(conn, "", 0)
	}
}

// headerRead stops the time limit for the header of a request.
func (c *callerConns) headerRead(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		c.limit(conn, "", 0)
	}
}

// limit replaces the time limit of a connection. Zero means that there is none.
func (c *callerConns) limit(conn net.Conn, reason string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, running := c.timers[conn]; running {
		t.Stop()
		delete(c.timers, conn)
	}
	if d <= 0 {
		return
	}
	c.timers[conn] = c.clock.AfterFunc(d, func() {
		c.log.Write(event.CallerClosed, "remote", conn.RemoteAddr().String(), "limit", reason, "after", d.String())
		_ = conn.Close()
	})
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
