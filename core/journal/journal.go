// Package journal stores what is needed to continue an answer on another upstream or router: the pinned prompt and the
// tokens generated so far. A router keeps one copy, and a witness in another failure domain keeps the other.
//
// The witness is the serialization point of an answer: it accepts tokens only from the owner of the newest claim, and
// only at the next index.
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

// Prompt holds the inputs of a generation. They are fixed for the lifetime of the answer.
type Prompt struct {
	Service     ids.Service
	Model       ids.Model
	Text        string
	Seed        uint64
	MaxTokens   uint32
	Temperature float64
}

// Journal is the state of one answer.
type Journal struct {
	Key     ids.RequestKey
	Attempt ids.Attempt
	Owner   ids.Owner
	Prompt  Prompt
	// BodyHash is the hash of the caller's request body, which tells a retry from the reuse of a request ID.
	BodyHash     uint64
	Tokens       []string
	FinishReason string

	lastUsed time.Time
	bytes    int
}

// Finished reports whether the answer is complete.
func (j *Journal) Finished() bool { return j.FinishReason != "" }

// supersedes reports whether e comes from a router that no longer owns the answer: one with an earlier claim, or one that
// opened the same request concurrently.
func (j *Journal) supersedes(e Entry) bool {
	if e.Attempt.Epoch() != j.Attempt.Epoch() {
		return e.Attempt.Epoch() < j.Attempt.Epoch()
	}
	return e.Owner != j.Owner
}

// Continues reports whether the journal has at least n tokens and the first n have the given digest.
func (j *Journal) Continues(n uint32, digest Digest) bool {
	if uint32(len(j.Tokens)) < n {
		return false
	}
	return DigestOf(j.Tokens[:n]) == digest
}
