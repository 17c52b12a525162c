package engine

import "time"

// Options configures a stand-in engine.
type Options struct {
	// Cadence is the time between two tokens of a stream.
	Cadence time.Duration
	// Prefill is the time before the first token. A prompt whose prefix is cached takes a quarter of it.
	Prefill time.Duration
	// Slots is the number of requests that the load report counts as running; it counts the rest as waiting.
	Slots int
	// Models lists the models that are loaded at the start.
	Models []Model
	// ChecksFence makes the engine reject orders with a fencing number below the highest one seen.
	ChecksFence bool
	// ReportLag is the minimum interval between updates of the load report.
	ReportLag time.Duration
}

// Model identifies a loaded model and its version.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Faults selects the faults that the server injects.
type Faults struct {
	// SlowFactor multiplies the prefill time and the time between tokens; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// Frozen suspends all streams and responses without closing connections.
	Frozen bool `json:"frozen"`
	// DropAfter aborts the connection of each run after it has produced that many tokens; zero disables it.
	DropAfter int `json:"drop_after"`
}

// Run is the log entry of one generation. First is the index of its first token, Produced the number of tokens generated
// so far. Outcome is running, finished, cancelled, dropped (see [Faults.DropAfter]) or gone (a write to the caller failed).
type Run struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	First     int    `json:"first"`
	Produced  int    `json:"produced"`
	Outcome   string `json:"outcome"`
}

type completionRequest struct {
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Prompt       string   `json:"prompt"`
	MaxTokens    int      `json:"max_tokens"`
	Seed         uint64   `json:"seed"`
	RequestID    string   `json:"request_id"`
	Priority     int      `json:"priority"`
	ResumeTokens []string `json:"resume_tokens"`
}

type completionChunk struct {
	ID         string   `json:"id"`
	TokenIndex int      `json:"token_index"`
	Choices    []choice `json:"choices"`
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

type order struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}
