package balancer

import "time"

// Load is the load that an agent reports for its upstream with each reply. Cadence is the time between tokens.
type Load struct {
	Running      int
	Queued       int
	QueuedTokens uint64
	Slots        int
	Cadence      time.Duration
}
