// Package upstream is an HTTP/1.1 client for upstreams that reuses connections and sends one request at a time on each.
//
// It never retries a request and never acts on hints such as redirects or Retry-After: each [Conn.Do] is one attempt, and
// its error tells whether the upstream may have read any part of the request.
//
// # Usage
//
//	conn, err := pool.Get(ctx, address)
//	resp, err := conn.Do(ctx, req)
//	... read resp.Body to its end ...
//	conn.Release() // returned to the pool, or closed
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxIdlePerUpstream bounds the idle connections to one upstream, whose own connection limit is shared by all routers.
	maxIdlePerUpstream = 32
	// defaultIdleTimeout applies to connections without a Keep-Alive timeout; upstreams close idle connections after a few
	// seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the idle timeout during which a connection may be reused, so that a request does
	// not race with the upstream closing the connection.
	idleTimeoutFraction = 0.7
	// readBufferSize is enough for a response header or a few events.
	readBufferSize = 4 << 10
)

// DialFunc opens a connection, such as [Dial].
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Limits bound what is read from an upstream beside the bodies of responses, in bytes.
type Limits struct {
	// HeaderBytes bounds the header of a response, with all interim responses before it.
	HeaderBytes int64
	// DiscardBytes bounds the body of a response that is read only to reuse its connection.
	DiscardBytes int64
}

// DefaultLimits are the limits without settings.
var DefaultLimits = Limits{HeaderBytes: 64 << 10, DiscardBytes: 64 << 10}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial   DialFunc
	clock  clockwork.Clock
	limits Limits

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc, clock clockwork.Clock, limits Limits) *Pool {
	return &Pool{dial: dial, clock: clock, limits: limits, idle: map[string][]*Conn{}}
}

// Get returns the most recently used idle connection that is still usable, or a new one. It does not return the connection
// that carried the request with the given ID before: a second copy of the earlier response could not be told from the next
// one.
func (p *Pool) Get(ctx context.Context, address, requestID string) (*Conn, error) {
	for {
		c := p.pop(address, requestID)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if c.usable(p.clock.Now()) {
			c.reused = c.carried
			return c, nil
		}
		c.Close()
	}
}

// Dial returns a new connection to an address.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, pool: p, address: address, idleTimeout: defaultIdleTimeout, headerLeft: unlimited}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

func (p *Pool) pop(address, requestID string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; requestID == "" || c.lastID != requestID {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Put adds an idle connection to the pool, or closes it if the pool holds enough connections to its address.
func (p *Pool) Put(c *Conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerUpstream {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address whose upstream was lost.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes the connections that have been idle for longer than they may be reused.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
