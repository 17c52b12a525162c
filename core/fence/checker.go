// Package fence rejects orders that carry an outdated fencing number.
//
// # Usage
//
//	c := fence.New()
//	c.SetCurrent(current)
//	if err := c.Check(order.Fence); err != nil { return err }
package fence

import (
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// Checker checks fencing numbers against the highest one seen. It is not safe for concurrent use.
type Checker struct {
	highest ids.Fence
	known   bool
}

// New returns a checker that rejects every number until the current one has been set.
func New() *Checker { return &Checker{} }

// SetCurrent sets the number of the current lease, as read from the platform's service. It never lowers the highest number
// seen.
func (c *Checker) SetCurrent(f ids.Fence) {
	c.known = true
	c.highest = max(c.highest, f)
}

// Initialized reports whether a number from the platform's service has been set.
func (c *Checker) Initialized() bool { return c.known }

// Highest returns the highest number seen.
func (c *Checker) Highest() ids.Fence { return c.highest }

// Check accepts an order's number and records it, or returns a fault of kind stale_fence or fence_unknown.
func (c *Checker) Check(f ids.Fence) error {
	if !c.known {
		return fault.New(fault.FenceUnknown, "order %d", f)
	}
	if f < c.highest {
		return fault.New(fault.StaleFence, "order %d, seen %d", f, c.highest)
	}
	c.highest = f
	return nil
}
