package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// keyHashBytes is the length of the truncated SHA-256 under which a key stands in its bucket.
const keyHashBytes = 16

// Key identifies a call of a workspace at a service by its hashed idempotency key.
type Key string

// KeyOf hashes an idempotency key within its workspace and service.
func KeyOf(w ids.Workspace, s ids.Service, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(string(w) + "\x00" + string(s) + "\x00" + idempotencyKey))
	return Key(hex.EncodeToString(sum[:keyHashBytes]))
}

// BucketName returns the key in the platform's service that holds the bucket of k, out of n buckets.
func BucketName(s ids.Service, k Key, n int) string {
	return fmt.Sprintf("ledger/%s/%d", s, xxhash.Sum64String(string(k))%uint64(n))
}
