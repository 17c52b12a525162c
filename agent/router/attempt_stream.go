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

// loadInterval is how often a stream of tokens carries a load report.
const loadInterval = 200 * time.Millisecond

// attemptStream sends the events of one attempt; tokens and keepalives come from different goroutines.
type attemptStream struct {
	stream wire.DRPCAgent_GenerateStream
	load   func() balancer.Load
	clock  clockwork.Clock

	mu       sync.Mutex
	loadSent time.Time
}

func (a *attemptStream) send(e *wire.GenerateEvent, withLoad bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.clock.Now(); withLoad || now.Sub(a.loadSent) > loadInterval {
		a.loadSent = now
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

func (a *attemptStream) alive() error { return a.send(&wire.GenerateEvent{}, true) }

func (a *attemptStream) finished(total uint32, reason string) error {
	return a.send(&wire.GenerateEvent{Finished: &wire.Finished{Total: total, Reason: reason}}, true)
}

func (a *attemptStream) fail(f *wire.Fault) error { return a.send(&wire.GenerateEvent{Fault: f}, true) }
