package kv

import "bilberrylug.dev/core/ids"

// VM states of the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	ID    ids.VM `json:"id"`
	State string `json:"state"`
}

// VMList is the platform's list with its index.
type VMList struct {
	Index uint64 `json:"index"`
	VMs   []VM   `json:"vms"`
}
