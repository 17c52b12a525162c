package balancer

import "time"

// Load is what an agent reports of its upstream with each reply.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens uint64
	Slots        int
	Cadence      time.Duration
}
