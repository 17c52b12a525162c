package queue

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Item is one piece of work that waits for a slot of the upstream.
type Item struct {
	Workspace ids.Workspace
	Class     Class
	Tokens    uint64
	Deadline  time.Time
	// Resumed marks work that was under way elsewhere; it goes before new work of its class.
	Resumed bool
	// Preemptible lets short work take the slot of this running item.
	Preemptible bool

	start     chan struct{}
	preempt   chan struct{}
	preempted bool
}

// Preempted returns a channel that is closed when the item has to give its slot back.
func (i *Item) Preempted() <-chan struct{} { return i.preempt }

// Started returns a channel that is closed when the item has its slot.
func (i *Item) Started() <-chan struct{} { return i.start }
