package ledger

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Entry is the record of one idempotency key. Call is its latest call, At the time of that call's intent or cancellation.
// Cancelled lists all cancelled or withdrawn calls.
type Entry struct {
	State     State      `json:"state"`
	Call      ids.Call   `json:"call"`
	BodyHash  uint64     `json:"body_hash"`
	At        time.Time  `json:"at"`
	Reply     *Reply     `json:"reply,omitempty"`
	Cancelled []ids.Call `json:"cancelled,omitempty"`
}

// Reply is the recorded reply of a call. A body larger than [MaxBodyBytes] is dropped, and Truncated is set.
type Reply struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"`
}
