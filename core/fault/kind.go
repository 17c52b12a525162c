package fault

import "time"

// Kind is a catalogue entry: a stable code with all that a caller or operator needs to act on it. Status is the HTTP status.
type Kind struct {
	Code       Code
	Number     string
	Status     int
	Claim      Claim
	RetryAfter time.Duration
	Retryable  bool
	Title      string
	Remedy     string
}
