package generation

import (
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// Command is an output of the machine, to be carried out by its driver.
type Command interface{ isCommand() }

// StartAttempt asks for a run from the given prefix length. The upstream of the lost attempt is to be avoided.
type StartAttempt struct {
	Attempt   ids.Attempt
	Prefix    uint32
	AfterLoss bool
	// Preemptible lets short work take the slot of the run.
	Preemptible bool
}

// CancelAttempt asks to end a run.
type CancelAttempt struct{ Attempt ids.Attempt }

// Append asks to send an entry to the current witness. Its number grows with every append of the machine, so that a
// repeated or late answer to an earlier one is known as such.
type Append struct {
	Number  uint64
	Witness ids.VM
	Entry   journal.Entry
}

// Reveal permits the caller to see tokens up to an index.
type Reveal struct{ To uint32 }

// Complete permits the caller to see the end of the answer.
type Complete struct{ Reason string }

// Fail ends the answer with a fault.
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
