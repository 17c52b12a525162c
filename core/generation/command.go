package generation

import (
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// Command is an output of the machine that its driver executes.
type Command interface{ isCommand() }

// StartAttempt starts an attempt that continues the first Prefix tokens. With AfterLoss set, the driver avoids the
// upstream of the lost attempt.
type StartAttempt struct {
	Attempt   ids.Attempt
	Prefix    uint32
	AfterLoss bool
	// Preemptible allows short requests to preempt the attempt.
	Preemptible bool
}

// CancelAttempt cancels an attempt.
type CancelAttempt struct{ Attempt ids.Attempt }

// Append sends an entry to the current witness. Number increases with every append of the machine, so that duplicate
// or late replies to earlier appends can be told apart.
type Append struct {
	Number  uint64
	Witness ids.VM
	Entry   journal.Entry
}

// Reveal releases the first To tokens to the caller.
type Reveal struct{ To uint32 }

// Complete releases the end of the answer to the caller. Reason is the finish reason.
type Complete struct{ Reason string }

// Fail ends the answer with a fault. Detail is sent to the caller.
type Fail struct {
	Code   fault.Code
	Detail string
}

func (StartAttempt) isCommand()  {}
func (CancelAttempt) isCommand() {}
func (Append) isCommand()        {}
func (Reveal) isCommand()        {}
func (Complete) isCommand()      {}
func (Fail) isCommand()          {}
