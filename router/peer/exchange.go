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
	// idlePeers is the number of peers that are asked in each interval.
	idlePeers = 1
	// newsPeers is the number of peers that hear of a change at once.
	newsPeers = 3
	// newsRounds is the number of times that peers are chosen for a change. One round leaves about one router in twenty
	// to the next idle exchange, three rounds one in eight thousand.
	newsRounds = 3
	// newsDelay gathers changes that come together.
	newsDelay = 20 * time.Millisecond
	// failuresToSuspect is the number of failed exchanges in a row after which a router is suspected.
	failuresToSuspect = 2
)

// Exchange spreads membership and revisions among the routers.
type Exchange struct {
	Options

	nudge    chan struct{}
	failures map[ids.VM]int
}

// NewExchange returns an exchange.
func NewExchange(o Options) *Exchange {
	return &Exchange{Options: o, nudge: make(chan struct{}, 1), failures: make(map[ids.VM]int)}
}

// Trigger makes the next exchange come at once, with more peers, since there is news.
func (e *Exchange) Trigger() {
	select {
	case e.nudge <- struct{}{}:
	default:
	}
}

// Run exchanges until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := e.Clock.NewTicker(exchangeInterval)
	defer ticker.Stop()
	e.round(ctx, newsPeers)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.round(ctx, idlePeers)
		case <-e.nudge:
			for range newsRounds {
				e.Clock.Sleep(newsDelay)
				e.round(ctx, newsPeers)
			}
		}
	}
}

// target is a router to exchange with; a seed's id is not known before its first answer.
type target struct {
	vm      ids.VM
	address string
}

type outcome struct {
	target

	sent  fleetview.Delta
	reply *wire.ExchangeReply
	err   error
}

func (e *Exchange) round(ctx context.Context, n int) {
	targets := e.targets(n)
	outcomes := make(chan outcome, len(targets))
	g := group.New(ctx)
	defer g.Stop()
	for _, t := range targets {
		g.Go(func(ctx context.Context) {
			delta := e.View.DeltaFor(t.vm, t.vm == "")
			reply, err := e.call(ctx, t.address, delta)
			if err == nil && reply.GetDigestDiffers() {
				delta = e.View.DeltaFor(t.vm, true)
				reply, err = e.call(ctx, t.address, delta)
			}
			outcomes <- outcome{t, delta, reply, err}
		})
	}
	for range targets {
		e.take(<-outcomes)
	}
}

// targets are random live peers; the seeds, while no peer is known.
func (e *Exchange) targets(n int) []target {
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
		if address != self && len(out) < newsPeers {
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

func (e *Exchange) take(o outcome) {
	if o.err != nil {
		e.Log.Write(event.ExchangeFailed, "address", o.address, "error", o.err.Error())
		e.failures[o.vm]++
		e.suspect(o.vm)
		return
	}
	delete(e.failures, o.vm)
	if changed := e.View.MergeMembers(wireconv.Map(o.reply.GetMembers(), wireconv.MemberFromWire)); len(changed) > 0 {
		e.Trigger()
	}
	revision := ids.Revision(o.reply.GetRevision())
	if o.vm != "" {
		e.View.RecordExchange(o.vm, o.sent, fleetview.PeerVersion{Epoch: o.reply.GetEpoch(), Version: o.reply.GetVersion()})
		e.View.SetRevision(o.vm, revision)
	}
	if e.Config.IsNewer(revision) {
		e.OnNewerConfig(o.address)
	}
}

// suspect spreads that a router does not answer; one that lives hears of it and refutes.
func (e *Exchange) suspect(vm ids.VM) {
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
