package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"bilberrylug.dev/core/settings"
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleConnTime   = 30 * time.Second
	idlePerAddress = 64
)

// Dialer keeps pooled connections by address.
type Dialer struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	tls  *tls.Config
}

// NewDialer returns a dialer; the error names a TLS file that cannot be used.
func NewDialer(t settings.TLS) (*Dialer, error) {
	cfg, err := clientConfig(t)
	if err != nil {
		return nil, err
	}
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleConnTime, KeyCapacity: idlePerAddress})
	return &Dialer{pool: pool, tls: cfg}, nil
}

// Conn returns a connection that dials the address when it is first used.
func (d *Dialer) Conn(address string) drpcpool.Conn {
	return d.pool.Get(context.Background(), address, d.dial)
}

// Close closes all idle connections.
func (d *Dialer) Close() { _ = d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var nd net.Dialer
	conn, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{address, err}
	}
	if d.tls == nil {
		return drpcconn.New(conn), nil
	}
	secured := tls.Client(conn, d.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, &DialError{address, err}
	}
	return drpcconn.New(secured), nil
}
