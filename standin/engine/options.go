package engine

import "time"

// Options of a stand-in engine.
type Options struct {
	Cadence     time.Duration
	Prefill     time.Duration
	Slots       int
	Models      []Model
	ChecksFence bool
	ReportLag   time.Duration
}

// Model is a loaded model version.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Faults are the switches of the stand-in.
type Faults struct {
	// SlowFactor multiplies the time between tokens; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// Frozen stops all output and all answers without closing connections.
	Frozen bool `json:"frozen"`
	// DropAfter closes the stream of each run after that many tokens of it; zero means never.
	DropAfter int `json:"drop_after"`
}

// Run is one row of the run log.
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
