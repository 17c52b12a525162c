package journal

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// journalOverheadBytes is the accounted size of a journal without its prompt and tokens.
const journalOverheadBytes = 256

// tokenOverheadBytes is the size of a token's string header.
const tokenOverheadBytes = 16

// Store holds the journals for which this process is the witness. It is not safe for concurrent use.
type Store struct {
	limits   Limits
	journals map[ids.RequestKey]*Journal
	bytes    int
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, journals: make(map[ids.RequestKey]*Journal)}
}

// Bytes returns the accounted size of all journals in bytes.
func (s *Store) Bytes() int { return s.bytes }

// Len returns the number of journals.
func (s *Store) Len() int { return len(s.journals) }

// Append appends one entry and returns the resulting length of the journal in tokens. A duplicate entry is accepted
// without effect, since the reply to the first one may have been lost.
func (s *Store) Append(now time.Time, e Entry) (uint32, Refusal) {
	j, known := s.journals[e.Key]
	if known && j.supersedes(e) {
		return uint32(len(j.Tokens)), Superseded
	}
	if e.Open != nil {
		if refusal := s.open(now, e, j); refusal != Accepted {
			return 0, refusal
		}
		j = s.journals[e.Key]
		known = true
	}
	if !known {
		return 0, Unknown
	}
	return s.extend(now, j, e)
}

// open creates the journal of an entry with Open set, or extends an existing one. A journal of the same answer that is
// already longer keeps its tokens; a difference in the additional ones is detected when later tokens are appended.
func (s *Store) open(now time.Time, e Entry, j *Journal) Refusal {
	size := journalOverheadBytes + len(e.Open.Prompt.Text) + tokenBytes(e.Open.Tokens)
	if j != nil {
		if j.BodyHash != e.Open.BodyHash {
			return Diverged
		}
		_, refusal := s.extend(now, j, Entry{Attempt: e.Attempt, Owner: e.Owner, Tokens: e.Open.Tokens})
		return refusal
	}
	if s.bytes+size > s.limits.MaxBytes {
		return Full
	}
	s.journals[e.Key] = &Journal{
		Key: e.Key, Attempt: e.Attempt, Owner: e.Owner, Prompt: e.Open.Prompt, BodyHash: e.Open.BodyHash,
		Tokens: slices.Clone(e.Open.Tokens), lastUsed: now, bytes: size,
	}
	s.bytes += size
	return Accepted
}

func (s *Store) extend(now time.Time, j *Journal, e Entry) (uint32, Refusal) {
	length := uint32(len(j.Tokens))
	if e.First > length {
		return length, Gap
	}
	overlap := min(length-e.First, uint32(len(e.Tokens)))
	if !slices.Equal(j.Tokens[e.First:e.First+overlap], e.Tokens[:overlap]) {
		return length, Diverged
	}
	fresh := e.Tokens[overlap:]
	if j.Finished() && len(fresh) > 0 {
		return length, Diverged
	}
	if e.FinishReason != "" && e.First+uint32(len(e.Tokens)) < length {
		return length, Diverged
	}
	size := tokenBytes(fresh)
	if s.bytes+size > s.limits.MaxBytes {
		return length, Full
	}
	j.Tokens = append(j.Tokens, fresh...)
	j.bytes += size
	s.bytes += size
	j.Attempt = max(j.Attempt, e.Attempt)
	j.Owner = e.Owner
	j.lastUsed = now
	if e.FinishReason != "" {
		j.FinishReason = e.FinishReason
	}
	return uint32(len(j.Tokens)), Accepted
}

// Claim transfers the journal to c.Owner under a new epoch and returns a copy of it. From then on, entries of earlier
// epochs are refused. A claim with a different body hash transfers nothing: it receives only the journal's body hash, and
// the answer in progress continues.
func (s *Store) Claim(now time.Time, c Claim) (Journal, bool) {
	j, known := s.journals[c.Key]
	if !known {
		return Journal{}, false
	}
	if j.BodyHash != c.BodyHash {
		return Journal{Key: j.Key, BodyHash: j.BodyHash}, true
	}
	if c.HasDigest && !j.Continues(c.MinLength, c.Digest) {
		return Journal{}, false
	}
	j.Attempt = j.Attempt.NextEpoch()
	j.Owner = c.Owner
	j.lastUsed = now
	out := *j
	out.Tokens = slices.Clone(j.Tokens)
	return out, true
}

// Expire deletes journals that have been unused for longer than the limits allow and returns their number.
func (s *Store) Expire(now time.Time) int {
	dropped := 0
	for key, j := range s.journals {
		keep := s.limits.RetentionUnfinished
		if j.Finished() {
			keep = s.limits.RetentionFinished
		}
		if now.Sub(j.lastUsed) < keep {
			continue
		}
		s.bytes -= j.bytes
		delete(s.journals, key)
		dropped++
	}
	return dropped
}

func tokenBytes(tokens []string) int {
	n := 0
	for _, t := range tokens {
		n += len(t) + tokenOverheadBytes
	}
	return n
}
