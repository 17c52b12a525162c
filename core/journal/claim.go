package journal

import "bilberrylug.dev/core/ids"

// Claim requests a journal from a witness and transfers it to Owner under a new epoch. With HasDigest set, the claim
// succeeds only if the first MinLength tokens of the journal, those that the caller has received, have the given digest.
type Claim struct {
	Key       ids.RequestKey
	Owner     ids.Owner
	BodyHash  uint64
	MinLength uint32
	Digest    Digest
	HasDigest bool
}
