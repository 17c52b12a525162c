// Package router is the agent's side of the protocol with routers. It accepts work, journal entries and orders from
// them, and reports the agent's state and load to them.
//
// # Usage
//
//	s := router.New(router.Options{...})
//	err := rpc.Serve(ctx, listener, tls, log.Panic, s.Register)
package router

import (
	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/agent/engine"
	"bilberrylug.dev/agent/plain"
	"bilberrylug.dev/agent/upstream"
	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/ledgerstore"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/wire"
)

// Options holds the dependencies of a Server. Exactly one of Engine and Plain is set, according to the kind of the upstream.
type Options struct {
	State    *State
	Config   *activeconfig.Holder
	Engine   *engine.Client
	Plain    *plain.Client
	Health   *upstream.Health
	Ledger   *ledgerstore.Store
	Store    kv.Store
	Journals *Journals
	Clock    clockwork.Clock
	Log      *event.Log
	Metrics  *metric.Registry
}

// Server implements the agent's DRPC service.
type Server struct {
	Options

	orders *orderFence
}

var _ wire.DRPCAgentServer = (*Server)(nil)

// New returns a Server with the given dependencies.
func New(o Options) *Server { return &Server{Options: o, orders: newOrderFence(o.Store)} }

// Register registers the service with a mux.
func (s *Server) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, s) }
