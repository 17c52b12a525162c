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
	heartbeatTimeout  = 800 * time.Millisecond
)

// Heartbeat tells a few routers of this agent and learns the revision and the routers from their replies.
type Heartbeat struct {
	state   *State
	config  *activeconfig.Holder
	dialer  *rpc.Dialer
	seeds   []string
	clock   clockwork.Clock
	log     *event.Log
	trigger chan struct{}
	known   map[string]peerVersion
	avoid   map[string]time.Time
}

// peerVersion is what this agent has of a router, and the router of this agent.
type peerVersion struct {
	epoch       uint64
	version     uint64
	incarnation uint64
}

// NewHeartbeat returns a heartbeat that begins with the seeds.
func NewHeartbeat(state *State, config *activeconfig.Holder, dialer *rpc.Dialer, seeds []string, clock clockwork.Clock, log *event.Log) *Heartbeat {
	return &Heartbeat{
		state: state, config: config, dialer: dialer, seeds: seeds, clock: clock, log: log,
		trigger: make(chan struct{}, 1), known: make(map[string]peerVersion), avoid: make(map[string]time.Time),
	}
}

// Trigger makes the next heartbeat come at once, since the agent's state has changed.
func (h *Heartbeat) Trigger() {
	select {
	case h.trigger <- struct{}{}:
	default:
	}
}

// Run beats until the context ends.
func (h *Heartbeat) Run(ctx context.Context) {
	ticker := h.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-h.trigger:
		}
	}
}

type beatResult struct {
	address     string
	incarnation uint64
	reply       *wire.ExchangeReply
	err         error
}

func (h *Heartbeat) beat(ctx context.Context) {
	targets := h.targets()
	results := make(chan beatResult, len(targets))
	g := group.New(ctx)
	defer g.Stop()
	for _, address := range targets {
		known := h.known[address]
		g.Go(func(ctx context.Context) {
			self := h.state.Self()
			reply, err := h.exchange(ctx, address, self, known)
			results <- beatResult{address, self.Incarnation, reply, err}
		})
	}
	for range targets {
		h.take(ctx, <-results)
	}
}

// targets are the routers of highest weight for this VM, or the seeds until any router is known.
func (h *Heartbeat) targets() []string {
	now := h.clock.Now()
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	byVM := make(map[ids.VM]string)
	var routers []ids.VM
	for _, m := range h.state.table.Members() {
		if m.Role == membership.Router && m.State == membership.Live && !now.Before(h.avoid[m.Address]) {
			byVM[m.VM] = m.Address
			routers = append(routers, m.VM)
		}
	}
	if len(routers) == 0 {
		return h.seeds
	}
	var out []string
	for _, vm := range rendezvous.Top(string(h.state.table.Self().VM), routers, membership.HeartbeatRouters) {
		out = append(out, byVM[vm])
	}
	return out
}

// exchange sends one heartbeat. What the agent is goes along only when the router lacks it.
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

// take merges a reply. A router that did not answer is passed over for a while, and another one hears the agent.
func (h *Heartbeat) take(ctx context.Context, r beatResult) {
	now := h.clock.Now()
	if r.err != nil {
		h.log.Write(event.ExchangeFailed, "address", r.address, "error", r.err.Error())
		h.avoid[r.address] = now.Add(avoidTime)
		delete(h.known, r.address)
		return
	}
	delete(h.avoid, r.address)
	known := peerVersion{r.reply.GetEpoch(), r.reply.GetVersion(), r.incarnation}
	if known.epoch != h.known[r.address].epoch {
		// The router was started anew, or this is the first word; it may not have kept what went along.
		known.incarnation = 0
	}
	h.known[r.address] = known
	h.state.mu.Lock()
	h.state.table.Merge(now, wireconv.Map(r.reply.GetMembers(), wireconv.MemberFromWire))
	h.state.adoptLeaving()
	h.state.mu.Unlock()
	if h.config.IsNewer(ids.Revision(r.reply.GetRevision())) {
		h.fetch(ctx, r.address)
	}
}

// avoidTime is how long a router that did not answer is passed over.
const avoidTime = 5 * time.Second

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
