// Package peer is the router's protocol with other routers, and with agents that report to it.
//
// # Usage
//
//	s := peer.NewServer(peer.Options{...})
//	err := link.Serve(ctx, listener, tls, s.Register)
package peer

import (
	"context"
	"math"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcmux"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
	"bilberrylug.dev/router/fleetview"
)

// Options are the dependencies of a server and its exchange.
type Options struct {
	View   *fleetview.View
	Config *activeconfig.Holder
	Dialer *rpc.Dialer
	Seeds  []string
	Grants *Grants
	Clock  clockwork.Clock
	Log    *event.Log
	// Epoch tells one life of this process from the next.
	Epoch uint64
	// OnNewerConfig is told the address of a peer that has a newer configuration.
	OnNewerConfig func(address string)
	// OnChange is told that there is news to spread.
	OnChange func()
}

// Server implements the drpc service of a router.
type Server struct{ Options }

var _ wire.DRPCRouterServer = (*Server)(nil)

// NewServer returns a server.
func NewServer(o Options) *Server { return &Server{o} }

// Register adds the service to a mux.
func (s *Server) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterRouter(mux, s) }

// Exchange implements the drpc service: it takes the sender's news and answers with what the sender lacks.
func (s *Server) Exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	sender := ids.VM(r.GetHeader().GetSender())
	revision := ids.Revision(r.GetHeader().GetRevision())
	news := wireconv.Map(r.GetMembers(), wireconv.MemberFromWire)
	s.merge(news)
	if r.GetRole() == string(membership.Agent) {
		s.View.RecordContact(sender, revision, wireconv.LoadFromWire(r.GetLoad()))
		return s.reply(sender, r), nil
	}
	s.View.SetRevision(sender, revision)
	if r.GetDigest() != 0 && !s.View.DigestMatches(r.GetDigest()) {
		return &wire.ExchangeReply{Revision: uint64(s.Config.Revision()), DigestDiffers: true}, nil
	}
	s.noteSender(sender, r)
	if address, known := s.View.Address(sender); known && s.Config.IsNewer(revision) {
		s.OnNewerConfig(address)
	}
	return s.reply(sender, r), nil
}

// noteSender keeps what the request shows: how far the sender has this router's table, and this router the sender's.
func (s *Server) noteSender(sender ids.VM, r *wire.ExchangeRequest) {
	confirmed := uint64(0)
	if r.GetKnownEpoch() == s.Epoch {
		confirmed = r.GetKnownVersion()
	}
	s.View.RecordRequest(sender, confirmed, r.GetBaseVersion(), fleetview.PeerVersion{Epoch: r.GetEpoch(), Version: r.GetVersion()})
}

// merge spreads what is new; a load report alone changes nothing.
func (s *Server) merge(news []membership.Member) {
	if len(news) == 0 {
		return
	}
	s.spread(s.View.MergeMembers(news))
}

func (s *Server) reply(sender ids.VM, r *wire.ExchangeRequest) *wire.ExchangeReply {
	after := r.GetKnownVersion()
	if r.GetKnownEpoch() != s.Epoch {
		after = 0
	}
	if r.GetDigest() != 0 {
		// The tables are the same: only the version is wanted.
		after = math.MaxUint64
	}
	members, version := s.View.ChangedAfter(after)
	out := &wire.ExchangeReply{Revision: uint64(s.Config.Revision()), Epoch: s.Epoch, Version: version}
	toAgent := r.GetRole() == string(membership.Agent)
	for _, m := range members {
		if toAgent && m.Role == membership.Agent && m.VM != sender {
			continue
		}
		out.Members = append(out.Members, wireconv.MemberToWire(m))
	}
	return out
}

// Fetch implements the drpc service.
func (s *Server) Fetch(_ context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	return s.Config.Serve(r)
}

// Grant implements the drpc service: this router is the home of the workspace.
func (s *Server) Grant(_ context.Context, r *wire.GrantRequest) (*wire.GrantReply, error) {
	granted := s.Grants.grantHere(ids.VM(r.GetHeader().GetSender()), ids.Workspace(r.GetWorkspace()), int(r.GetWant()), int(r.GetRunning()))
	return &wire.GrantReply{Granted: uint32(granted)}, nil
}

// judgeInterval is how often silent members are looked for.
const judgeInterval = 500 * time.Millisecond

// DetectFailures suspects silent members until the context ends.
func (s *Server) DetectFailures(ctx context.Context) {
	group.Every(ctx, s.Clock, judgeInterval, func() { s.spread(s.View.DetectFailures()) })
}

// spread logs changes of members and passes them on.
func (s *Server) spread(changed []membership.Member) {
	for _, m := range changed {
		s.Log.Write(event.MemberChanged, "member", string(m.VM), "state", m.State.String())
	}
	if len(changed) > 0 {
		s.OnChange()
	}
}
