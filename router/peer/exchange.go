package peer

import (
	"context"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
	"bilberrylug.dev/router/fleetview"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 800 * time.Millisecond
	// idleFanout is the number of peers contacted in each interval.
	idleFanout = 1
	// changeFanout is the number of peers contacted in each round after a change.
	changeFanout = 3
	// changeRounds is the number of rounds after a change. One round leaves about one router in twenty to the next idle
	// exchange, three rounds leave one in eight thousand.
	changeRounds = 3
	// changeDelay is the wait before each round, which batches changes that occur close together.
	changeDelay = 20 * time.Millisecond
	// failuresToSuspect is the number of consecutive failed exchanges after which a router is suspected.
	failuresToSuspect = 2
)

// Exchange exchanges membership and configuration revisions with the other routers.
type Exchange struct {
	Options

	trigger  chan struct{}
	failures map[ids.VM]int
}

// NewExchange returns an Exchange that is not running yet.
func NewExchange(o Options) *Exchange {
	return &Exchange{Options: o, trigger: make(chan struct{}, 1), failures: make(map[ids.VM]int)}
}

// Trigger starts the rounds that broadcast a change, instead of waiting for the next interval. It does not block.
func (e *Exchange) Trigger() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// Run exchanges state with peers until ctx is done.
func (e *Exchange) Run(ctx context.Context) {
	ticker := e.Clock.NewTicker(exchangeInterval)
	defer ticker.Stop()
	e.exchangeRound(ctx, changeFanout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.exchangeRound(ctx, idleFanout)
		case <-e.trigger:
			for range changeRounds {
				e.Clock.Sleep(changeDelay)
				e.exchangeRound(ctx, changeFanout)
			}
		}
	}
}

// target is a router to exchange with. The vm of a seed is empty, because its ID is unknown before its first reply.
type target struct {
	vm      ids.VM
	address string
}

type result struct {
	target

	sent  fleetview.Delta
	reply *wire.ExchangeReply
	err   error
}

// exchangeRound exchanges state with the targets that pickTargets returns, in parallel. A target that reports a different
// digest gets the whole table in a second call.
func (e *Exchange) exchangeRound(ctx context.Context, n int) {
	targets := e.pickTargets(n)
	results := make(chan result, len(targets))
	g := group.New(ctx)
	defer g.Stop()
	for _, t := range targets {
		g.Go(func(ctx context.Context) {
			results <- group.Try(e.Log.Panic, result{target: t, err: group.ErrPanicked}, func() result { return e.exchangeWith(ctx, t) })
		})
	}
	for range targets {
		e.handleResult(<-results)
	}
}

func (e *Exchange) exchangeWith(ctx context.Context, t target) result {
	delta := e.View.DeltaFor(t.vm, t.vm == "")
	reply, err := e.call(ctx, t.address, delta)
	if err == nil && reply.GetDigestDiffers() {
		delta = e.View.DeltaFor(t.vm, true)
		reply, err = e.call(ctx, t.address, delta)
	}
	return result{t, delta, reply, err}
}

// pickTargets returns at most n random live peers or, while no peer is known, some of the seeds.
func (e *Exchange) pickTargets(n int) []target {
	var out []target
	for _, vm := range e.View.RandomPeers(n) {
		if address, known := e.View.Address(vm); known {
			out = append(out, target{vm, address})
		}
	}
	if len(out) > 0 {
		return out
	}
	self := e.View.Self().Address
	for _, address := range e.Seeds {
		if address != self && len(out) < changeFanout {
			out = append(out, target{"", address})
		}
	}
	return out
}

func (e *Exchange) call(ctx context.Context, address string, d fleetview.Delta) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn := e.Dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCRouterClient(conn).Exchange(ctx, &wire.ExchangeRequest{
		Header: &wire.Header{Sender: string(e.View.Self().VM), Revision: uint64(e.Config.Revision())},
		Role:   string(membership.Router), Members: wireconv.Map(d.Members, wireconv.MemberToWire),
		KnownEpoch: d.Known.Epoch, KnownVersion: d.Known.Version, Epoch: e.Epoch, BaseVersion: d.Base, Version: d.Version, Digest: d.Digest,
	})
}

func (e *Exchange) handleResult(r result) {
	if r.err != nil {
		e.Log.Write(event.ExchangeFailed, "address", r.address, "error", r.err.Error())
		e.failures[r.vm]++
		e.suspectPeer(r.vm)
		return
	}
	delete(e.failures, r.vm)
	if changed := e.View.MergeMembers(wireconv.Map(r.reply.GetMembers(), wireconv.MemberFromWire)); len(changed) > 0 {
		e.Trigger()
	}
	revision := ids.Revision(r.reply.GetRevision())
	if r.vm != "" {
		e.View.RecordExchange(r.vm, r.sent, fleetview.PeerVersion{Epoch: r.reply.GetEpoch(), Version: r.reply.GetVersion()})
		e.View.SetRevision(r.vm, revision)
	}
	if e.Config.IsNewer(revision) {
		e.OnNewerConfig(r.address)
	}
}

// suspectPeer marks a router that does not reply as suspected and broadcasts it. If the router is alive, it receives the
// suspicion and refutes it.
func (e *Exchange) suspectPeer(vm ids.VM) {
	if vm == "" || e.failures[vm] < failuresToSuspect {
		return
	}
	changed := false
	e.View.Update(func(t *membership.Table) { changed = t.RaiseState(e.Clock.Now(), vm, membership.Suspect) })
	if changed {
		e.Log.Write(event.MemberChanged, "member", string(vm), "state", membership.Suspect.String())
		e.Trigger()
	}
}
