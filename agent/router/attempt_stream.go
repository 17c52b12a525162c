package router

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// loadInterval is the minimum time between the load reports that accompany tokens.
const loadInterval = 200 * time.Millisecond

// attemptStream sends the events of one attempt. It serializes tokens and keepalives, which come from different goroutines.
type attemptStream struct {
	stream wire.DRPCAgent_GenerateStream
	load   func() balancer.Load
	clock  clockwork.Clock

	mu         sync.Mutex
	loadSentAt time.Time
}

// send sends an event. It adds a load report if withLoad is set or the last report is older than loadInterval.
func (a *attemptStream) send(e *wire.GenerateEvent, withLoad bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.clock.Now(); withLoad || now.Sub(a.loadSentAt) > loadInterval {
		a.loadSentAt = now
		e.Load = wireconv.LoadToWire(a.load())
	}
	if err := a.stream.Send(e); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return nil
}

func (a *attemptStream) token(index uint32, text string) error {
	return a.send(&wire.GenerateEvent{Tokens: &wire.Tokens{First: index, Texts: []string{text}}}, false)
}

func (a *attemptStream) keepalive() error { return a.send(&wire.GenerateEvent{}, true) }

func (a *attemptStream) finish(total uint32, reason string) error {
	return a.send(&wire.GenerateEvent{Finished: &wire.Finished{Total: total, Reason: reason}}, true)
}

func (a *attemptStream) fail(f *wire.Fault) error { return a.send(&wire.GenerateEvent{Fault: f}, true) }
