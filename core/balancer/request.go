package balancer

import "bilberrylug.dev/core/ids"

// Request is a piece of work to be placed on one of the candidates.
type Request struct {
	Candidates []ids.VM
	// Tokens is the number of tokens to generate.
	Tokens uint64
	// Affinity identifies the prompt's prefix; empty means that no upstream is preferred.
	Affinity string
	// Avoid lists the upstreams that must not be picked.
	Avoid []ids.VM
}
