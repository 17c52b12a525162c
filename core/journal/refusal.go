package journal

// Refusal says why a witness did not take an entry. The empty refusal means that it did.
type Refusal string

// The refusals of a witness.
const (
	Accepted   Refusal = ""
	Superseded Refusal = "superseded"
	Unknown    Refusal = "unknown"
	Gap        Refusal = "gap"
	Diverged   Refusal = "diverged"
	Full       Refusal = "full"
)
