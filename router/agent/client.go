// Package agent is the router's client of the agent protocol: attempts, journals, calls and orders.
//
// # Usage
//
//	client := agent.New(agent.Options{...})
//	client.Generate(ctx, attempt, report)
//	client.Append(cmd, report)
package agent

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcpool"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/fleetview"
)

// Options holds the dependencies of a client. Refresh fetches a newer configuration when an agent has one.
type Options struct {
	View    *fleetview.View
	Dialer  *rpc.Dialer
	Config  *activeconfig.Holder
	Clock   clockwork.Clock
	Log     *event.Log
	Group   *group.Group
	Refresh func(ctx context.Context) error
}

// Client sends requests to the agents. It is safe for concurrent use.
type Client struct {
	Options

	mu        sync.Mutex
	appenders map[ids.VM]*appender
}

// New returns a client with the given dependencies.
func New(o Options) *Client { return &Client{Options: o, appenders: make(map[ids.VM]*appender)} }

func (c *Client) header() *wire.Header {
	return &wire.Header{Sender: string(c.View.Self().VM), Revision: uint64(c.Config.Revision())}
}

// conn returns a connection to a member, or a fault of kind no_upstream if the member is unknown.
func (c *Client) conn(vm ids.VM) (drpcpool.Conn, error) {
	address, known := c.View.Address(vm)
	if !known {
		return nil, fault.New(fault.NoUpstream, "%s is not known", vm)
	}
	return c.Dialer.Conn(address), nil
}
