// Package agent is the router's side of the protocol with agents: attempts, journals, calls and orders.
//
// # Usage
//
//	links := agent.New(agent.Options{...})
//	links.Generate(ctx, attempt, events)
//	links.Append(ctx, entry, answered)
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
	"bilberrylug.dev/core/link"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/fleetview"
)

// Options are the dependencies of the links. Refresh brings in a newer configuration when an agent knows one.
type Options struct {
	View    *fleetview.View
	Dialer  *link.Dialer
	Config  *activeconfig.Holder
	Clock   clockwork.Clock
	Log     *event.Log
	Group   *group.Group
	Refresh func(ctx context.Context) error
}

// Client reach the agents. They are safe for concurrent use.
type Client struct {
	Options

	mu        sync.Mutex
	appenders map[ids.VM]*appender
}

// New returns links.
func New(o Options) *Client { return &Client{Options: o, appenders: make(map[ids.VM]*appender)} }

func (l *Client) header() *wire.Header {
	return &wire.Header{Sender: string(l.View.Self().VM), Revision: uint64(l.Config.Revision())}
}

// conn returns a connection to a member, or a fault of kind no_upstream when it is not known.
func (l *Client) conn(vm ids.VM) (drpcpool.Conn, error) {
	address, known := l.View.Address(vm)
	if !known {
		return nil, fault.New(fault.NoUpstream, "%s is not known", vm)
	}
	return l.Dialer.Conn(address), nil
}
