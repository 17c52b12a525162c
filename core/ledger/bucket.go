// Package ledger implements the at-most-once ledger, which decides whether a non-idempotent call may be sent.
//
// A bucket is one value in the platform's service. An agent adds the intent of a call by compare-and-swap before it sends
// the call, and the reply after it. A router that gets no reply from the agent cancels the call that it forwarded, also
// by compare-and-swap. The first swap wins, so a call that was reported as not run can never run later.
//
// # Usage
//
//	b, err := ledger.Decode(value.Body)
//	decision := b.Begin(now, limits, ledger.Start{Key: key, Call: call, BodyHash: hash})
//	if decision.Verdict == ledger.Proceed { ... compare-and-swap b.Encode(), then send ... }
package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// MaxBodyBytes is the size of the largest reply body that is recorded.
	MaxBodyBytes = 4096
	// maxEncodedBytes keeps a bucket below the platform's limit of one megabyte per value.
	maxEncodedBytes = 900_000
	// entryOverheadBytes is the encoded size of an entry without its reply body.
	entryOverheadBytes = 220
)

// Limits bound the size of a bucket and the age of its entries.
type Limits struct {
	MaxEntries int
	// Retention is how long an entry is kept after its intent or cancellation.
	Retention time.Duration
}

// Bucket holds the ledger entries of one value in the platform's service. It is not safe for concurrent use.
type Bucket struct {
	Entries map[Key]Entry `json:"entries"`
}

// Start identifies a call to begin or to cancel.
type Start struct {
	Key      Key
	Call     ids.Call
	BodyHash uint64
}

// Verdict is the result of [Bucket.Begin].
type Verdict string

// The verdicts.
const (
	// Proceed means that the intent was added and the call may be sent.
	Proceed Verdict = "proceed"
	// Recorded means that the key has a recorded reply.
	Recorded Verdict = "recorded"
	// InProgress means that the key has an intent without a reply.
	InProgress Verdict = "in_progress"
	// Refused means that this call was cancelled or withdrawn.
	Refused Verdict = "refused"
	// Mismatch means that the key was used with a different body.
	Mismatch Verdict = "mismatch"
	// Full means that the bucket cannot take another entry.
	Full Verdict = "full"
)

// Decision is a verdict and the entry that it is based on.
type Decision struct {
	Verdict Verdict
	Entry   Entry
}

// Decode decodes a bucket. An empty value is an empty bucket.
func Decode(body []byte) (*Bucket, error) {
	b := &Bucket{Entries: make(map[Key]Entry)}
	if len(body) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(body, b); err != nil {
		return nil, fmt.Errorf("decode ledger bucket: %w", err)
	}
	if b.Entries == nil {
		b.Entries = make(map[Key]Entry)
	}
	return b, nil
}

// Encode encodes the bucket as JSON.
func (b *Bucket) Encode() ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode ledger bucket: %w", err)
	}
	return body, nil
}

// Clone returns a copy whose entries can be changed independently.
func (b *Bucket) Clone() *Bucket { return &Bucket{Entries: maps.Clone(b.Entries)} }

// Begin adds the intent of a call unless an entry or the limits forbid it. A cancelled call is refused permanently, but a
// new call with the same key may follow it.
func (b *Bucket) Begin(now time.Time, limits Limits, s Start) Decision {
	e, known := b.Entries[s.Key]
	if known && slices.Contains(e.Cancelled, s.Call) {
		return Decision{Refused, e}
	}
	if known && e.BodyHash != s.BodyHash && e.State != Cancelled {
		return Decision{Mismatch, e}
	}
	if known && e.State == Done {
		return Decision{Recorded, e}
	}
	if known && e.State == Intent {
		return Decision{InProgress, e}
	}
	b.prune(now, limits)
	if !known && b.full(limits) {
		return Decision{Full, Entry{}}
	}
	e = Entry{State: Intent, Call: s.Call, BodyHash: s.BodyHash, At: now, Cancelled: e.Cancelled}
	b.Entries[s.Key] = e
	return Decision{Proceed, e}
}

// Finish records the reply of a call and reports whether the entry was an intent of that call.
func (b *Bucket) Finish(key Key, call ids.Call, r Reply) bool {
	e, known := b.Entries[key]
	if !known || e.Call != call || e.State != Intent {
		return false
	}
	if len(r.Body) > MaxBodyBytes {
		r.Body = nil
		r.Truncated = true
	}
	e.State = Done
	e.Reply = &r
	b.Entries[key] = e
	return true
}

// Withdraw cancels the intent of a call that the agent has not sent and will not send. It reports whether there was one.
func (b *Bucket) Withdraw(key Key, call ids.Call) bool {
	e, known := b.Entries[key]
	if !known || e.Call != call || e.State != Intent {
		return false
	}
	e.State = Cancelled
	e.Cancelled = append(slices.Clone(e.Cancelled), call)
	b.Entries[key] = e
	return true
}

// Cancel prevents a call that a router forwarded, but got no reply for, from being sent. If an intent or a reply already
// exists, Cancel returns that entry and false.
func (b *Bucket) Cancel(now time.Time, s Start) (Entry, bool) {
	e, known := b.Entries[s.Key]
	if known && e.State != Cancelled {
		return e, false
	}
	e = Entry{State: Cancelled, Call: s.Call, BodyHash: s.BodyHash, At: now, Cancelled: append(slices.Clone(e.Cancelled), s.Call)}
	b.Entries[s.Key] = e
	return e, true
}

// prune deletes entries that are older than the retention.
func (b *Bucket) prune(now time.Time, limits Limits) {
	for key, e := range b.Entries {
		if now.Sub(e.At) > limits.Retention {
			delete(b.Entries, key)
		}
	}
}

// full reports whether the bucket has MaxEntries, or might exceed maxEncodedBytes with another entry.
func (b *Bucket) full(limits Limits) bool {
	if len(b.Entries) >= limits.MaxEntries {
		return true
	}
	size := 0
	for _, e := range b.Entries {
		size += entryOverheadBytes
		if e.Reply != nil {
			size += len(e.Reply.Body) * 4 / 3
		}
	}
	return size+entryOverheadBytes+MaxBodyBytes*4/3 > maxEncodedBytes
}
