package balancer

import "bilberrylug.dev/core/ids"

// Request is one piece of work to be placed.
type Request struct {
	Candidates []ids.VM
	Tokens     uint64
	Affinity   string
	Avoid      []ids.VM
}
