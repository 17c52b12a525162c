package store

import (
	"fmt"
	"log/slog"
)

// Era counts how often the store has returned from an older copy of itself. Such a copy lacks the latest changes, and the numbers of
// their revisions are given out again.
type Era uint16

// Revision is the position of a change in the order of all changes: first by its era, then by the store's count of changes. It only rises.
// Zero is before the first change.
type Revision uint64

// eraShift is the position of the era in a revision.
const eraShift = 48

// RangeError reports an era or a count of changes that a [Revision] cannot hold. The process must be updated, or the store replaced.
type RangeError struct{ Era, Count uint64 }

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("store: era %d, revision %d exceed what a router can order; update the router or replace the store", e.Era, e.Count)
}

// NewRevision returns the revision with a count of changes in an era.
func NewRevision(era Era, count uint64) (Revision, error) {
	if count >= 1<<eraShift {
		return 0, &RangeError{uint64(era), count}
	}
	return Revision(uint64(era)<<eraShift | count), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Count returns the store's count of changes at the revision.
func (r Revision) Count() uint64 { return uint64(r) & (1<<eraShift - 1) }

// String returns the era and the count, such as "2.450".
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Count()) }

// LogValue implements [slog.LogValuer].
func (r Revision) LogValue() slog.Value { return slog.StringValue(r.String()) }
