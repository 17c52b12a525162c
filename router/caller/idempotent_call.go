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
	// maxIdempotentAttempts bounds the attempts of an idempotent call, not counting a hedge.
	maxIdempotentAttempts = 3
	// hedgeRatio is the fraction of idempotent calls that may be hedged.
	hedgeRatio = 0.05
	// hedgeBurst is the largest number of hedges that may be sent in a burst.
	hedgeBurst = 10
)

// hedgeBudget limits hedges to a fraction of the idempotent calls. It is safe for concurrent use.
type hedgeBudget struct {
	mu      sync.Mutex
	balance float64
}

func (b *hedgeBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+hedgeRatio, hedgeBurst)
}

func (b *hedgeBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

type callResult struct {
	vm    ids.VM
	reply *wire.CallReply
	err   error
}

// callIdempotent forwards an idempotent call. A failed attempt is retried on another upstream; a slow one is hedged, that is,
// a second attempt runs concurrently on another upstream.
func (s *Server) callIdempotent(ctx context.Context, call plainCall) (*wire.CallReply, error) {
	s.hedges.deposit()
	results := make(chan callResult, maxIdempotentAttempts+1)
	g := group.New(ctx)
	defer g.Cancel()
	var avoid []ids.VM
	start := func() bool {
		vm, ok := s.pickUpstream(call, avoid)
		if !ok {
			return false
		}
		avoid = append(avoid, vm)
		request, _ := proto.Clone(call.request).(*wire.CallRequest)
		g.Go(func(ctx context.Context) {
			results <- group.Try(s.Log.Panic, callResult{vm: vm, err: group.ErrPanicked}, func() callResult {
				reply, err := s.Agents.Call(ctx, vm, request)
				return callResult{vm, reply, err}
			})
		})
		return true
	}
	if !start() {
		return nil, fault.New(fault.NoUpstream, "service %s", call.service.Name)
	}
	return s.awaitReply(ctx, call, results, start)
}

// awaitReply returns the first successful reply, or the last error when no attempt is left.
func (s *Server) awaitReply(ctx context.Context, call plainCall, results chan callResult, start func() bool) (*wire.CallReply, error) {
	running, attempts := 1, 1
	hedge := s.hedgeTimer(call)
	for {
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(fault.UpstreamLost, ctx.Err(), "no reply in time")
		case <-hedge:
			hedge = nil
			if s.hedges.tryWithdraw() && start() {
				running++
				s.Metrics.Counter("hedges").Inc(1)
			}
		case r := <-results:
			running--
			if r.err == nil {
				return r.reply, nil
			}
			s.View.RecordFailure(r.vm)
			if attempts < maxIdempotentAttempts && start() {
				attempts++
				running++
			}
			if running == 0 {
				return nil, idempotentFault(r.err)
			}
		}
	}
}

// hedgeTimer returns a channel that fires when a hedge is due, or nil if the route is not hedged.
func (s *Server) hedgeTimer(call plainCall) <-chan time.Time {
	if call.route.HedgeAfter == 0 {
		return nil
	}
	return s.Clock.After(call.route.HedgeAfter.Std())
}

// idempotentFault reports an unknown outcome as upstream_lost, since it does no harm if an idempotent call has run. Other
// errors are returned unchanged.
func idempotentFault(err error) error {
	if fault.CodeOf(err) == fault.CallOutcomeUnknown {
		return fault.Wrap(fault.UpstreamLost, err, "each of up to %d attempts failed", maxIdempotentAttempts+1)
	}
	return err
}
