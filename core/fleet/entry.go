package fleet

import "bilberrylug.dev/core/ids"

// Entry is the registration of an upstream.
type Entry struct {
	ID      ids.VM
	Service ids.Service
	Address string
	Domain  ids.FailureDomain
	Slots   int
	// Version is that of the upstream's software, as text; it is empty if the entry names none.
	Version string
	// Draining is set once the upstream has announced that it is leaving.
	Draining bool
	// Started distinguishes one start of the upstream from the next; it is compared only for equality.
	Started int64
	// Seq counts the writes of the entry by one start of the upstream.
	Seq int64
}
