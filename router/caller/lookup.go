package caller

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
)

const (
	// lookupTries is the number of upstreams that an idempotent call is tried on.
	lookupTries = 3
	// hedgeShare is the part of the lookups that may be hedged.
	hedgeShare = 0.05
	// hedgeBurst is the number of hedges that may come together.
	hedgeBurst = 10
)

// hedgeBudget lets a small share of the lookups be sent twice.
type hedgeBudget struct {
	mu      sync.Mutex
	credits float64
}

func (b *hedgeBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits = min(b.credits+hedgeShare, hedgeBurst)
}

func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credits < 1 {
		return false
	}
	b.credits--
	return true
}

type lookupResult struct {
	vm    ids.VM
	reply *wire.CallReply
	err   error
}

// lookup runs an idempotent call: it is tried again elsewhere after a failure, and hedged when it is slow.
func (s *Server) lookup(ctx context.Context, call plainCall) (*wire.CallReply, error) {
	s.hedges.earn()
	results := make(chan lookupResult, lookupTries+1)
	g := group.New(ctx)
	defer g.Cancel()
	var avoid []ids.VM
	start := func() bool {
		vm, ok := s.pickFor(call, avoid)
		if !ok {
			return false
		}
		avoid = append(avoid, vm)
		request, _ := proto.Clone(call.request).(*wire.CallRequest)
		g.Go(func(ctx context.Context) {
			reply, err := s.Agents.Call(ctx, vm, request)
			results <- lookupResult{vm, reply, err}
		})
		return true
	}
	if !start() {
		return nil, fault.New(fault.NoUpstream, "service %s", call.service.Name)
	}
	return s.awaitLookup(ctx, call, results, start)
}

func (s *Server) awaitLookup(ctx context.Context, call plainCall, results chan lookupResult, start func() bool) (*wire.CallReply, error) {
	running, tries := 1, 1
	hedge := s.hedgeTimer(call)
	for {
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(fault.UpstreamLost, ctx.Err(), "no reply in time")
		case <-hedge:
			hedge = nil
			if s.hedges.spend() && start() {
				running++
				s.Metrics.Counter("hedges").Inc(1)
			}
		case r := <-results:
			running--
			if r.err == nil {
				return r.reply, nil
			}
			s.View.RecordFailure(r.vm)
			if tries < lookupTries && start() {
				tries++
				running++
			}
			if running == 0 {
				return nil, lookupFault(r.err)
			}
		}
	}
}

func (s *Server) hedgeTimer(call plainCall) <-chan time.Time {
	if call.route.HedgeAfter == 0 {
		return nil
	}
	return s.Clock.After(call.route.HedgeAfter.Std())
}

// lookupFault keeps a true refusal; anything else may have run, which does no harm to a lookup.
func lookupFault(err error) error {
	if fault.CodeOf(err) == fault.CallOutcomeUnknown {
		return fault.Wrap(fault.UpstreamLost, err, "every try failed")
	}
	return err
}
