package journal

import "time"

// Limits bound a store.
type Limits struct {
	MaxBytes            int
	RetentionUnfinished time.Duration
	RetentionFinished   time.Duration
}
