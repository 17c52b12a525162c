// Package upstream speaks HTTP/1.1 to upstreams over kept connections, one request at a time on each.
//
// It never sends a request twice and never follows a hint of its own: each [Conn.Do] is one sending, and its error tells
// whether the upstream can have read anything of it.
//
// # Usage
//
//	conn, err := pool.Get(ctx, address)
//	resp, err := conn.Do(ctx, out)
//	... read resp.Body to its end ...
//	conn.Done() // kept for the next request, or closed
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// keepLimit bounds the idle connections of one upstream; its own limit is shared by all routers.
	keepLimit = 32
	// idleLimit is how long a connection is kept that names no time of its own; upstreams close idle ones after some
	// seconds.
	idleLimit = 4 * time.Second
	// idleShare is the part of the stated idle time for which a connection is used, so that requests do not cross the
	// upstream's closing of it.
	idleShare = 0.7
	// readBuffer holds a response header or some events.
	readBuffer = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial  DialFunc
	clock clockwork.Clock

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc, clock clockwork.Clock) *Pool {
	return &Pool{dial: dial, clock: clock, idle: map[string][]*Conn{}}
}

// Get returns the most recently used idle connection that is still sound, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if c.sound(p.clock.Now()) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, pool: p, address: address, idleTime: idleLimit}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Put puts a connection that carries no request into the pool.
func (p *Pool) Put(c *Conn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= keepLimit {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections of an address, after its upstream was lost.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now) {
				old = append(old, c)
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
	for _, c := range old {
		c.Close()
	}
}
