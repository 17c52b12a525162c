package balancer

import "time"

// Load is the load that an agent reports for its upstream with each reply.
type Load struct {
	Running int
	Queued  int
	// QueuedTokens is the number of tokens to generate for the running and the queued generations.
	QueuedTokens uint64
	// Slots is the maximum number of concurrent generations.
	Slots int
	// Cadence is the time between the tokens of a generation, or zero if it is not known.
	Cadence time.Duration
}
