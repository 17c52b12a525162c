package direct

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

// gateWaiter is a call that waits for its turn.
type gateWaiter struct{ admitted chan struct{} }

// Admit implements placing.Waiter.
func (w *gateWaiter) Admit() { close(w.admitted) }

// gate returns the gate before the upstreams of a service. The caller holds the lock.
func (w *world) gate(service ids.Service) *placement.Limiter {
	g, known := w.gates[service]
	if !known {
		slots := 0
		for _, u := range w.fleet.Usable(service) {
			slots += u.Slots
		}
		g = placement.NewLimiter(slots, w.picker.Routers)
		w.gates[service] = g
	}
	return g
}

// enterGate waits for the call's turn. One that would wait beyond its time is refused at once, and told when to come back.
func (x *exchange) enterGate() error {
	x.mu.Lock()
	g := x.gate(x.service.Name)
	wait, admitted := g.Acquire()
	if admitted {
		x.mu.Unlock()
		return nil
	}
	if wait > x.left()-hopelessTime {
		x.mu.Unlock()
		f := fault.New(fault.QueueFull, "it would wait %s", wait)
		f.Kind.RetryAfter = wait
		return f
	}
	w := &gateWaiter{admitted: make(chan struct{})}
	g.Enqueue(w)
	x.mu.Unlock()
	x.metrics.Counter("calls_waited", "service", string(x.service.Name)).Inc(1)
	select {
	case <-w.admitted:
		return nil
	case <-x.ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !g.Cancel(w) {
		g.Release(false, 0, x.clock.Now())
	}
	return errNotRun
}

// leaveGate notes the end of a call that was admitted.
func (x *exchange) leaveGate(shed bool, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate(x.service.Name).Release(shed, took, x.clock.Now())
}
