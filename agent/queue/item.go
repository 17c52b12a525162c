package queue

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Item is a unit of work that waits for a slot of the upstream or occupies one.
type Item struct {
	Workspace ids.Workspace
	Class     Class
	// Tokens is the number of tokens left to generate.
	Tokens uint64
	// Deadline is the time until which the item may wait for its slot.
	Deadline time.Time
	// Resumed marks work that continues an earlier attempt; it is started before new work of its class.
	Resumed bool
	// Preemptible allows waiting short work to take the slot of this item while it runs.
	Preemptible bool

	started   chan struct{}
	preempt   chan struct{}
	preempted bool
}

// Preempted returns a channel that is closed when the item must release its slot.
func (i *Item) Preempted() <-chan struct{} { return i.preempt }

// Started returns a channel that is closed when the item gets a slot.
func (i *Item) Started() <-chan struct{} { return i.started }
