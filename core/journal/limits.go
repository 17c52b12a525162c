package journal

import "time"

// Limits bound a store.
type Limits struct {
	MaxBytes          int
	Idle              time.Duration
	RetentionFinished time.Duration
}
