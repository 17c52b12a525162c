package fleet

import "bilberrylug.dev/core/ids"

// Entry is what an upstream has registered of itself.
type Entry struct {
	ID      ids.VM
	Service ids.Service
	Address string
	Domain  ids.FailureDomain
	Slots   int
	// Draining tells that it announced its leaving.
	Draining bool
	// Started tells one life of the upstream from the next; only equality matters.
	Started int64
}
