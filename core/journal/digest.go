package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of the first tokens of a journal, in order.
type Digest uint64

// Extend returns the digest of the tokens of d followed by token.
func (d Digest) Extend(token string) Digest {
	var h xxhash.Digest
	h.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(d))
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(token)
	return Digest(h.Sum64())
}

// DigestOf returns the digest of tokens.
func DigestOf(tokens []string) Digest {
	var d Digest
	for _, t := range tokens {
		d = d.Extend(t)
	}
	return d
}
