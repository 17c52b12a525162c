package kv

import "bilberrylug.dev/core/ids"

// States of a [VM].
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID    ids.VM `json:"id"`
	State string `json:"state"`
}

// VMList is the platform's list of VMs with the index of its last change.
type VMList struct {
	Index uint64 `json:"index"`
	VMs   []VM   `json:"vms"`
}
