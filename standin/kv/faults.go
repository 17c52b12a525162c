package kv

// Faults selects the faults that the server injects.
type Faults struct {
	// Outage fails every call with status 503.
	Outage bool `json:"outage"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of writes that take effect and whose responses are then lost.
	LoseAnswers int `json:"lose_answers"`
}
