package peer

import (
	"context"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/wire"
)

// Fetch takes the configuration of the router at an address if it is newer.
func Fetch(ctx context.Context, d *rpc.Dialer, address string, config *activeconfig.Holder, self ids.VM) (bool, error) {
	conn := d.Conn(address)
	defer func() { _ = conn.Close() }()
	return config.Fetch(ctx, wire.NewDRPCRouterClient(conn), self)
}
