// Package ledger decides whether a non-idempotent call may be sent.
//
// A bucket is one value of the platform's service. Before a call is sent its intent is added by compare-and-swap, after
// it the reply. A router that has no word from the agent cancels its own forwarding in the same way: whichever swap
// comes first decides, so a call that was reported as not run can never run later.
//
// # Usage
//
//	b, err := ledger.Decode(value.Body)
//	decision := b.Begin(now, ledger.Start{Key: key, Call: call, BodyHash: hash})
//	if decision.Verdict == ledger.Proceed { ... swap in b.Encode(), then send ... }
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
	// MaxBodyBytes is the largest reply body that is recorded.
	MaxBodyBytes = 4096
	// maxEncodedBytes keeps a bucket below the platform's limit of a megabyte for a value.
	maxEncodedBytes = 900_000
	// entryOverheadBytes is the encoded size of an entry beside its body.
	entryOverheadBytes = 220
)

// Limits bound a bucket.
type Limits struct {
	MaxEntries int
	Retention  time.Duration
}

// Bucket is the decoded value. It is not safe for concurrent use.
type Bucket struct {
	Entries map[Key]Entry `json:"entries"`
}

// Start asks to begin a call.
type Start struct {
	Key      Key
	Call     ids.Call
	BodyHash uint64
}

// Verdict says what a bucket answers to a start.
type Verdict string

// The verdicts.
const (
	Proceed    Verdict = "proceed"
	Recorded   Verdict = "recorded"
	InProgress Verdict = "in_progress"
	Refused    Verdict = "refused"
	Mismatch   Verdict = "mismatch"
	Full       Verdict = "full"
)

// Decision is a verdict with the entry that it rests on.
type Decision struct {
	Verdict Verdict
	Entry   Entry
}

// Decode reads a bucket; an empty value is an empty bucket.
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

// Encode writes a bucket.
func (b *Bucket) Encode() ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode ledger bucket: %w", err)
	}
	return body, nil
}

// Clone returns a copy that can be changed without the original.
func (b *Bucket) Clone() *Bucket { return &Bucket{Entries: maps.Clone(b.Entries)} }

// Begin adds the intent of a call if nothing speaks against it. A cancelled forwarding is refused for good; a new
// forwarding of the same key may follow it.
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

// Finish records the reply of a call whose intent stands.
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

// Withdraw ends the intent of a call that its own agent did not send and will not send.
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

// Cancel forbids a forwarding that a router has no word of. It fails when an intent or a reply stands, which the entry
// then shows.
func (b *Bucket) Cancel(now time.Time, s Start) (Entry, bool) {
	e, known := b.Entries[s.Key]
	if known && e.State != Cancelled {
		return e, false
	}
	e = Entry{State: Cancelled, Call: s.Call, BodyHash: s.BodyHash, At: now, Cancelled: append(slices.Clone(e.Cancelled), s.Call)}
	b.Entries[s.Key] = e
	return e, true
}

// prune drops entries past their retention.
func (b *Bucket) prune(now time.Time, limits Limits) {
	for key, e := range b.Entries {
		if now.Sub(e.At) > limits.Retention {
			delete(b.Entries, key)
		}
	}
}

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
