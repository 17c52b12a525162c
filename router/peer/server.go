// Package peer implements the router's protocol with other routers and with the agents that report to it.
//
// # Usage
//
//	s := peer.NewServer(peer.Options{...})
//	err := rpc.Serve(ctx, listener, tls, log.Panic, s.Register)
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

// Options holds the dependencies of a [Server] and an [Exchange].
type Options struct {
	View   *fleetview.View
	Config *activeconfig.Holder
	Dialer *rpc.Dialer
	// Seeds are the addresses of routers to contact while no peer is known.
	Seeds  []string
	Grants *Grants
	Clock  clockwork.Clock
	Log    *event.Log
	// Epoch distinguishes this run of the process from earlier and later ones.
	Epoch uint64
	// OnNewerConfig is called with the address of a peer that has a newer configuration.
	OnNewerConfig func(address string)
	// OnChange is called when there are changes to broadcast.
	OnChange func()
}

// Server implements the DRPC service of a router.
type Server struct{ Options }

var _ wire.DRPCRouterServer = (*Server)(nil)

// NewServer returns a Server with the given dependencies.
func NewServer(o Options) *Server { return &Server{o} }

// Register registers the service with a mux.
func (s *Server) Register(mux *drpcmux.Mux) error { return wire.DRPCRegisterRouter(mux, s) }

// Exchange implements [wire.DRPCRouterServer]. It merges the members that the sender reports and replies with those that the
// sender lacks.
func (s *Server) Exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	sender := ids.VM(r.GetHeader().GetSender())
	revision := ids.Revision(r.GetHeader().GetRevision())
	reported := wireconv.Map(r.GetMembers(), wireconv.MemberFromWire)
	s.mergeMembers(reported)
	if r.GetRole() == string(membership.Agent) {
		s.View.RecordContact(sender, revision, wireconv.LoadFromWire(r.GetLoad()))
		return s.reply(sender, r), nil
	}
	s.View.SetRevision(sender, revision)
	if r.GetDigest() != 0 && !s.View.DigestMatches(r.GetDigest()) {
		return &wire.ExchangeReply{Revision: uint64(s.Config.Revision()), DigestDiffers: true}, nil
	}
	s.recordSender(sender, r)
	if address, known := s.View.Address(sender); known && s.Config.IsNewer(revision) {
		s.OnNewerConfig(address)
	}
	return s.reply(sender, r), nil
}

// recordSender records the version of this router's table that the sender acknowledges and the version of the sender's
// table that this router now has.
func (s *Server) recordSender(sender ids.VM, r *wire.ExchangeRequest) {
	acknowledged := uint64(0)
	if r.GetKnownEpoch() == s.Epoch {
		acknowledged = r.GetKnownVersion()
	}
	s.View.RecordRequest(sender, acknowledged, r.GetBaseVersion(), fleetview.PeerVersion{Epoch: r.GetEpoch(), Version: r.GetVersion()})
}

// mergeMembers merges reported members and broadcasts the changes. A load report without members changes nothing.
func (s *Server) mergeMembers(reported []membership.Member) {
	if len(reported) == 0 {
		return
	}
	s.broadcastChanges(s.View.MergeMembers(reported))
}

// reply returns the members that the sender lacks. An agent gets no entries of other agents.
func (s *Server) reply(sender ids.VM, r *wire.ExchangeRequest) *wire.ExchangeReply {
	after := r.GetKnownVersion()
	if r.GetKnownEpoch() != s.Epoch {
		after = 0
	}
	if r.GetDigest() != 0 {
		// Equal digests mean equal tables, so the reply only needs the version.
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

// Fetch implements [wire.DRPCRouterServer]. It serves the active configuration.
func (s *Server) Fetch(_ context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	return s.Config.Serve(r)
}

// Grant implements [wire.DRPCRouterServer]. It is called on the coordinator of the workspace.
func (s *Server) Grant(_ context.Context, r *wire.GrantRequest) (*wire.GrantReply, error) {
	granted := s.Grants.grantLocally(ids.VM(r.GetHeader().GetSender()), ids.Workspace(r.GetWorkspace()), int(r.GetWant()), int(r.GetRunning()))
	return &wire.GrantReply{Granted: uint32(granted)}, nil
}

// detectInterval is how often members are checked for missing reports.
const detectInterval = 500 * time.Millisecond

// DetectFailures marks members that have stopped reporting as suspected, until ctx is done.
func (s *Server) DetectFailures(ctx context.Context) {
	group.Every(ctx, s.Clock, detectInterval, func() { s.broadcastChanges(s.View.DetectFailures()) })
}

// broadcastChanges logs changed members and triggers a broadcast of the changes.
func (s *Server) broadcastChanges(changed []membership.Member) {
	for _, m := range changed {
		s.Log.Write(event.MemberChanged, "member", string(m.VM), "state", m.State.String())
	}
	if len(changed) > 0 {
		s.OnChange()
	}
}
