package ledger

// State is how far a call has come.
type State string

// The states of an entry.
const (
	Intent    State = "intent"
	Done      State = "done"
	Cancelled State = "cancelled"
)
