package journal

import "time"

// Limits bound the size of a store and the age of its journals.
type Limits struct {
	MaxBytes int
	// RetentionUnfinished is how long an unfinished journal is kept after its last use.
	RetentionUnfinished time.Duration
	// RetentionFinished is how long a finished journal is kept after its last use.
	RetentionFinished time.Duration
}
