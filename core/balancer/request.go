package balancer

import "bilberrylug.dev/core/ids"

// Request is a piece of work to be placed. Upstreams in Avoid are not picked; Affinity, if set, identifies the prompt's
// prefix.
type Request struct {
	Candidates []ids.VM
	Tokens     uint64
	Affinity   string
	Avoid      []ids.VM
}
