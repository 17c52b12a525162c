package kv

// Faults are the switches of the stand-in.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers makes that many writes take effect and then lose their answers.
	LoseAnswers int `json:"lose_answers"`
}
