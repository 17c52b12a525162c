// Package rpc provides the drpc connections between the processes of bilberrylug and their TLS configuration.
//
// A connection carries one call at a time, so a dialer keeps a pool per address. If the settings name TLS files, both
// ends present a certificate signed by the common CA. The certificate and its key are reloaded when one of their files
// changes; the CA file is read once.
//
// # Usage
//
//	dialer, err := rpc.NewDialer(cfg.TLS)
//	client := wire.NewDRPCAgentClient(dialer.Conn(address))
//
//	err = rpc.Serve(ctx, listener, cfg.TLS, log.Panic, func(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, impl) })
package rpc
