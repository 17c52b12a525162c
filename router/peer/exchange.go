package peer

import (
	"context"
	"time"

	"bilberrylug.dev/core/convert"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/wire"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 800 * time.Millisecond
	// idlePeers is the number of peers that are asked in each interval.
	idlePeers = 1
	// newsPeers is the number of peers that hear of a change at once.
	newsPeers = 3
	// newsDelay gathers changes that come together.
	newsDelay = 20 * time.Millisecond
	// failuresToSuspect is the number of failed exchanges in a row after which a router is suspected.
	failuresToSuspect = 2
)

// Exchange spreads membership and revisions among the routers.
type Exchange struct {
	Options

	nudge chan struct{}
	known map[string]peerState
}

// peerState is what this router has of a peer, and the peer of this router.
type peerState struct {
	epoch   uint64
	version uint64
	vm      ids.VM
	// failures counts the exchanges in a row that were not answered.
	failures int
}

// NewExchange returns an exchange.
func NewExchange(o Options) *Exchange {
	return &Exchange{Options: o, nudge: make(chan struct{}, 1), known: make(map[string]peerState)}
}

// Nudge makes the next exchange come at once, with more peers, since there is news.
func (e *Exchange) Nudge() {
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
			e.Clock.Sleep(newsDelay)
			e.round(ctx, newsPeers)
		}
	}
}

// Round exchanges once with the given number of peers, before the process serves or stops.
func (e *Exchange) Round(ctx context.Context, peers int) { e.round(ctx, peers) }

type outcome struct {
	address string
	version uint64
	reply   *wire.ExchangeReply
	err     error
}

func (e *Exchange) round(ctx context.Context, n int) {
	targets := e.targets(n)
	outcomes := make(chan outcome, len(targets))
	g := group.New(ctx)
	defer g.Stop()
	for _, address := range targets {
		news, version := e.View.Unacknowledged(e.known[address].vm)
		known := e.known[address]
		g.Go(func(ctx context.Context) {
			reply, err := e.call(ctx, address, news, known)
			outcomes <- outcome{address, version, reply, err}
		})
	}
	for range targets {
		e.take(<-outcomes)
	}
}

// targets are random live peers; the seeds too, while no peer is known.
func (e *Exchange) targets(n int) []string {
	var out []string
	for _, vm := range e.View.RandomPeers(n) {
		if address, known := e.View.Address(vm); known {
			out = append(out, address)
			state := e.known[address]
			state.vm = vm
			e.known[address] = state
		}
	}
	if len(out) > 0 {
		return out
	}
	self := e.View.Self().Address
	for _, address := range e.Seeds {
		if address != self && len(out) < newsPeers {
			out = append(out, address)
		}
	}
	return out
}

func (e *Exchange) call(ctx context.Context, address string, news []membership.Member, known peerState) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn := e.Dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCRouterClient(conn).Exchange(ctx, &wire.ExchangeRequest{
		Header: &wire.Header{Sender: string(e.View.Self().VM), Revision: uint64(e.Config.Revision())},
		Role:   string(membership.Router), Members: convert.Each(news, convert.MemberToWire),
		KnownEpoch: known.epoch, KnownVersion: known.version,
	})
}

func (e *Exchange) take(o outcome) {
	known := e.known[o.address]
	if o.err != nil {
		e.Log.Write(event.ExchangeFailed, "address", o.address, "error", o.err.Error())
		known.failures++
		e.known[o.address] = known
		e.suspect(known)
		return
	}
	known.failures = 0
	restarted := known.epoch != 0 && known.epoch != o.reply.GetEpoch()
	known.epoch = o.reply.GetEpoch()
	known.version = o.reply.GetVersion()
	e.known[o.address] = known
	e.View.Acknowledge(known.vm, o.version, restarted)
	changed := false
	e.View.MergeNews(convert.Each(o.reply.GetMembers(), convert.MemberFromWire), func(c []membership.Member) { changed = len(c) > 0 })
	if changed {
		e.Nudge()
	}
	revision := ids.Revision(o.reply.GetRevision())
	if known.vm != "" {
		e.View.HeardRevision(known.vm, revision)
	}
	if e.Config.Wants(revision) {
		e.Newer(o.address)
	}
}

// suspect spreads that a router does not answer; one that lives hears of it and refutes.
func (e *Exchange) suspect(known peerState) {
	if known.vm == "" || known.failures < failuresToSuspect {
		return
	}
	changed := false
	e.View.Update(func(t *membership.Table) { changed = t.Mark(e.Clock.Now(), known.vm, membership.Suspect) })
	if changed {
		e.Log.Write(event.MemberChanged, "member", string(known.vm), "state", membership.Suspect.String())
		e.Nudge()
	}
}
