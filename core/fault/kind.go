package fault

import "time"

// Kind is one row of the catalogue: a stable code with everything that a caller or operator needs to act on it.
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
