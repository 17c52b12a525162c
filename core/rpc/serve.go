package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bilberrylug.dev/core/settings"
)

// Serve answers calls on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, t settings.TLS, register func(mux *drpcmux.Mux) error) error {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	cfg, err := ServerConfig(t)
	if err != nil {
		return err
	}
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	if err := drpcserver.New(mux).Serve(ctx, l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
