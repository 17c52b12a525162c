package router

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

const (
	heartbeatInterval = time.Second
	// heartbeatTimeout bounds the exchange with one router.
	heartbeatTimeout = 800 * time.Millisecond
)

// Heartbeat reports this agent and its load to a few routers. From their replies it learns the current configuration
// revision and the other routers.
type Heartbeat struct {
	state      *State
	config     *activeconfig.Holder
	dialer     *rpc.Dialer
	seeds      []string
	clock      clockwork.Clock
	log        *event.Log
	trigger    chan struct{}
	peers      map[string]peerVersion
	avoidUntil map[string]time.Time
}

// peerVersion records how far this agent and a router know each other's state: the epoch and version received from the
// router, and the incarnation of this agent that the router has received.
type peerVersion struct {
	epoch       uint64
	version     uint64
	incarnation uint64
}

// NewHeartbeat returns a Heartbeat that contacts the seeds until it knows a router.
func NewHeartbeat(state *State, config *activeconfig.Holder, dialer *rpc.Dialer, seeds []string, clock clockwork.Clock, log *event.Log) *Heartbeat {
	return &Heartbeat{
		state: state, config: config, dialer: dialer, seeds: seeds, clock: clock, log: log,
		trigger: make(chan struct{}, 1), peers: make(map[string]peerVersion), avoidUntil: make(map[string]time.Time),
	}
}

// Trigger sends the next heartbeat immediately. It is called when the agent's state has changed.
func (h *Heartbeat) Trigger() {
	select {
	case h.trigger <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx is done.
func (h *Heartbeat) Run(ctx context.Context) {
	ticker := h.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.exchangeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-h.trigger:
		}
	}
}

type exchangeResult struct {
	address     string
	incarnation uint64
	reply       *wire.ExchangeReply
	err         error
}

// exchangeAll sends a heartbeat to every target and merges the replies.
func (h *Heartbeat) exchangeAll(ctx context.Context) {
	targets := h.targets()
	results := make(chan exchangeResult, len(targets))
	g := group.New(ctx)
	defer g.Stop()
	for _, address := range targets {
		known := h.peers[address]
		g.Go(func(ctx context.Context) {
			results <- group.Try(h.log.Panic, exchangeResult{address: address, err: group.ErrPanicked}, func() exchangeResult {
				self := h.state.Self()
				reply, err := h.exchange(ctx, address, self, known)
				return exchangeResult{address, self.Incarnation, reply, err}
			})
		})
	}
	for range targets {
		h.handleReply(ctx, <-results)
	}
}

// targets returns the addresses of the live routers with the highest rendezvous weight for this VM, without those in
// backoff. If there are none, it returns the seeds.
func (h *Heartbeat) targets() []string {
	now := h.clock.Now()
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	byVM := make(map[ids.VM]string)
	var routers []ids.VM
	for _, m := range h.state.members.Members() {
		if m.Role == membership.Router && m.State == membership.Live && !now.Before(h.avoidUntil[m.Address]) {
			byVM[m.VM] = m.Address
			routers = append(routers, m.VM)
		}
	}
	if len(routers) == 0 {
		return h.seeds
	}
	var out []string
	for _, vm := range rendezvous.Top(string(h.state.members.Self().VM), routers, membership.HeartbeatRouters) {
		out = append(out, byVM[vm])
	}
	return out
}

// exchange sends one heartbeat. It includes the agent's member record only if the router does not have it yet.
func (h *Heartbeat) exchange(ctx context.Context, address string, self membership.Member, known peerVersion) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	conn := h.dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	r := &wire.ExchangeRequest{
		Header: &wire.Header{Sender: string(self.VM), Revision: uint64(h.config.Revision())}, Role: string(self.Role),
		Load: wireconv.LoadToWire(h.state.Load()), KnownEpoch: known.epoch, KnownVersion: known.version,
	}
	if known.incarnation != self.Incarnation {
		r.Members = []*wire.Member{wireconv.MemberToWire(self)}
	}
	return wire.NewDRPCRouterClient(conn).Exchange(ctx, r)
}

// handleReply merges a reply. A router that did not reply is skipped for failedPeerBackoff, so that another router takes
// its place.
func (h *Heartbeat) handleReply(ctx context.Context, r exchangeResult) {
	now := h.clock.Now()
	if r.err != nil {
		h.log.Write(event.ExchangeFailed, "address", r.address, "error", r.err.Error())
		h.avoidUntil[r.address] = now.Add(failedPeerBackoff)
		delete(h.peers, r.address)
		return
	}
	delete(h.avoidUntil, r.address)
	known := peerVersion{r.reply.GetEpoch(), r.reply.GetVersion(), r.incarnation}
	if known.epoch != h.peers[r.address].epoch {
		// The router has restarted, or this is its first reply. It may not have kept the member record of this agent.
		known.incarnation = 0
	}
	h.peers[r.address] = known
	h.state.mu.Lock()
	h.state.members.Merge(now, wireconv.Map(r.reply.GetMembers(), wireconv.MemberFromWire))
	h.state.adoptPlatformLeaving()
	h.state.mu.Unlock()
	if h.config.IsNewer(ids.Revision(r.reply.GetRevision())) {
		h.fetch(ctx, r.address)
	}
}

// failedPeerBackoff is how long a router that did not reply is skipped.
const failedPeerBackoff = 5 * time.Second

func (h *Heartbeat) fetch(ctx context.Context, address string) {
	conn := h.dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	changed, err := h.config.Fetch(ctx, wire.NewDRPCRouterClient(conn), h.state.Self().VM)
	if err != nil {
		h.log.Write(event.ConfigUnreadable, "address", address, "error", err.Error())
		return
	}
	if changed {
		h.state.ApplyConfig()
		h.log.Write(event.ConfigActivated, "revision", h.config.Revision())
		h.Trigger()
	}
}
