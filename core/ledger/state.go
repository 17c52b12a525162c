package ledger

// State is the state of an entry.
type State string

// The states of an entry.
const (
	// Intent means that the call may have been sent.
	Intent State = "intent"
	// Done means that the reply is recorded.
	Done State = "done"
	// Cancelled means that the call was not sent and never will be.
	Cancelled State = "cancelled"
)
