// Package link makes the drpc connections between the processes of bilberrylug.
//
// A connection carries one call at a time, so a dialer keeps a pool for each address. With TLS files in the settings,
// both ends show a certificate of the common authority; the files are read again when they change.
//
// # Usage
//
//	dialer, err := link.NewDialer(cfg.TLS)
//	client := wire.NewDRPCAgentClient(dialer.Conn(address))
//
//	err = link.Serve(ctx, listener, cfg.TLS, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, impl) })
package rpc
