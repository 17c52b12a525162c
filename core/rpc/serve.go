package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime/debug"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/settings"
)

// Serve accepts connections on l and serves their calls until the context ends. register adds the services to mux. A call that
// panics fails, and the panic is passed to onPanic.
func Serve(ctx context.Context, l net.Listener, t settings.TLS, onPanic group.PanicFunc, register func(mux *drpcmux.Mux) error) error {
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
	if err := drpcserver.New(&recoverer{mux, onPanic}).Serve(ctx, l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// recoverer is a handler whose calls fail instead of ending the process if they panic.
type recoverer struct {
	drpc.Handler
	onPanic group.PanicFunc
}

// HandleRPC implements [drpc.Handler].
func (r *recoverer) HandleRPC(stream drpc.Stream, name string) (err error) {
	defer func() {
		if value := recover(); value != nil {
			r.onPanic(value, debug.Stack())
			err = fault.New(fault.Internal, "call %s", name)
		}
	}()
	return r.Handler.HandleRPC(stream, name)
}
