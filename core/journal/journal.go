// Package journal holds what is needed to continue an answer on another upstream or router: the pinned prompt and the
// tokens so far. A router keeps one copy, a witness in another failure domain keeps the other.
//
// The witness is the serialization point of an answer: it accepts tokens only from the newest attempt that claimed the
// journal, and only at the next index.
//
// # Usage
//
//	store := journal.NewStore(limits)
//	n, refusal := store.Append(now, journal.Entry{Key: key, Attempt: 1, First: 0, Tokens: tokens})
package journal

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Prompt is what an answer is generated from. None of it changes while the answer lasts.
type Prompt struct {
	Service     ids.Service
	Model       ids.Model
	Text        string
	Seed        uint64
	MaxTokens   uint32
	Temperature float64
}

// Journal is one answer as far as it is known.
type Journal struct {
	Key          ids.RequestKey
	Attempt      ids.Attempt
	Owner        ids.Owner
	Prompt       Prompt
	BodyHash     uint64
	Tokens       []string
	FinishReason string

	touched time.Time
	bytes   int
}

// Finished tells whether the answer is complete.
func (j *Journal) Finished() bool { return j.FinishReason != "" }

// supersedes tells whether an entry comes from a holder that has lost the answer: an earlier claim, or another router
// that opened the same request at the same time.
func (j *Journal) supersedes(e Entry) bool {
	if e.Attempt.Epoch() != j.Attempt.Epoch() {
		return e.Attempt.Epoch() < j.Attempt.Epoch()
	}
	return e.Owner != j.Owner
}

// Continues tells whether the journal holds at least n tokens whose first n have the given digest.
func (j *Journal) Continues(n uint32, digest Digest) bool {
	if uint32(len(j.Tokens)) < n {
		return false
	}
	return DigestOf(j.Tokens[:n]) == digest
}
