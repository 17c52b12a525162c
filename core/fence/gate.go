// Package fence refuses orders that carry an old fencing number.
//
// # Usage
//
//	gate := fence.New()
//	gate.Learn(current)
//	if err := gate.Admit(order.Fence); err != nil { return err }
package fence

import (
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// Checker remembers the highest fencing number. It is not safe for concurrent use.
type Checker struct {
	highest ids.Fence
	learned bool
}

// New returns a gate that admits nothing until it has learned the current number.
func New() *Checker { return &Checker{} }

// SetCurrent takes the number of the current lease as the platform's service has it.
func (g *Checker) SetCurrent(f ids.Fence) {
	g.learned = true
	g.highest = max(g.highest, f)
}

// Initialized tells whether the gate knows a number from the platform's service.
func (g *Checker) Initialized() bool { return g.learned }

// Highest returns the highest number seen.
func (g *Checker) Highest() ids.Fence { return g.highest }

// Check takes an order's number, or returns a fault of kind stale_fence or fence_unknown.
func (g *Checker) Check(f ids.Fence) error {
	if !g.learned {
		return fault.New(fault.FenceUnknown, "order %d", f)
	}
	if f < g.highest {
		return fault.New(fault.StaleFence, "order %d, seen %d", f, g.highest)
	}
	g.highest = f
	return nil
}
