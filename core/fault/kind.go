package fault

import "time"

// Kind is a catalogue entry: a stable code with all that a caller or operator needs to act on it. Status is the HTTP status.
// Retryable is set if the router itself may retry the work, or resume it on another upstream.
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
