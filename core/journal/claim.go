package journal

import "bilberrylug.dev/core/ids"

// Claim asks a witness for a journal under a new attempt. With HasDigest set, only a journal that continues exactly
// what the caller has seen is given out.
type Claim struct {
	Key       ids.RequestKey
	Owner     ids.Owner
	BodyHash  uint64
	MinLength uint32
	Digest    Digest
	HasDigest bool
}
