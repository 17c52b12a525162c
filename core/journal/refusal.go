package journal

// Refusal is the reason why a witness did not accept an entry. The empty refusal means that it was accepted.
type Refusal string

// The refusals of a witness.
const (
	Accepted Refusal = ""
	// Superseded means that another router or a later epoch owns the journal.
	Superseded Refusal = "superseded"
	// Unknown means that the witness has no journal for the key.
	Unknown Refusal = "unknown"
	// Gap means that the entry starts after the next index.
	Gap Refusal = "gap"
	// Diverged means that the entry contradicts the journal.
	Diverged Refusal = "diverged"
	// Full means that the entry would exceed Limits.MaxBytes.
	Full Refusal = "full"
)
