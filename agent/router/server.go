// Package router is the agent's side of the protocol with routers: it takes work, journals and orders from them, and
// tells them of itself.
//
// # Usage
//
//	s := router.New(router.Options{...})
//	err := link.Serve(ctx, listener, tls, s.Register)
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

// Options are the dependencies of a server. Engine and Plain are set according to the kind of the upstream.
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

// Server implements the drpc service of an agent.
type Server struct {
	Options

	orders *orderGate
}

var _ wire.DRPCAgentServer = (*Server)(nil)

// New returns a server.
func New(o Options) *Server { return &Server{Options: o, orders: newOrderGate(o.Store)} }

// Register adds the service to a mux.
func (s *Server) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterAgent(mux, s) }
