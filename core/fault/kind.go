package fault

import "time"

// Kind is a catalogue entry: a stable code with all that a caller or operator needs to act on it.
type Kind struct {
	Code   Code
	Number string
	// Status is the HTTP status.
	Status int
	Claim  Claim
	// RetryAfter is the delay after which a caller should retry; zero means that none is given.
	RetryAfter time.Duration
	// Retryable is set if the router itself may retry the work, or resume it on another upstream.
	Retryable bool
	Title     string
	Remedy    string
}
