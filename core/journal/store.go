package journal

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// journalOverheadBytes is the bookkeeping of one journal beside its texts.
const journalOverheadBytes = 256

// tokenOverheadBytes is the string header of one token.
const tokenOverheadBytes = 16

// Store holds the journals that this process witnesses. It is not safe for concurrent use.
type Store struct {
	limits   Limits
	journals map[ids.RequestKey]*Journal
	bytes    int
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, journals: make(map[ids.RequestKey]*Journal)}
}

// Bytes returns the memory accounted to all journals, in bytes.
func (s *Store) Bytes() int { return s.bytes }

// Len returns the number of journals.
func (s *Store) Len() int { return len(s.journals) }

// Append takes one entry and returns the length of the journal after it, in tokens. A repeated entry is accepted
// again without effect, since its first answer may have been lost.
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

// open creates or lengthens the journal of an entry that carries all that came before it. A journal of the same
// answer that is already longer stays as it is: the later check of each token finds any difference.
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
		Tokens: slices.Clone(e.Open.Tokens), touched: now, bytes: size,
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
	j.touched = now
	if e.FinishReason != "" {
		j.FinishReason = e.FinishReason
	}
	return uint32(len(j.Tokens)), Accepted
}

// Claim gives the journal to a new attempt and returns a copy of it. From then on, entries of earlier attempts are
// refused. A claim for another body takes nothing: it is shown the body's hash alone, and the answer under way goes on.
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
	j.touched = now
	out := *j
	out.Tokens = slices.Clone(j.Tokens)
	return out, true
}

// Expire drops journals that nobody has touched for the limits' time.
func (s *Store) Expire(now time.Time) int {
	dropped := 0
	for key, j := range s.journals {
		keep := s.limits.RetentionUnfinished
		if j.Finished() {
			keep = s.limits.RetentionFinished
		}
		if now.Sub(j.touched) < keep {
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
