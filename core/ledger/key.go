package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// keyHashBytes is the length of the truncated SHA-256 hash that is used as key in a bucket.
const keyHashBytes = 16

// Key is the hash of a workspace, a service and an idempotency key.
type Key string

// KeyOf hashes an idempotency key together with its workspace and service.
func KeyOf(w ids.Workspace, s ids.Service, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(string(w) + "\x00" + string(s) + "\x00" + idempotencyKey))
	return Key(hex.EncodeToString(sum[:keyHashBytes]))
}

// BucketName returns the name in the platform's service of the bucket that holds k, if the service has n buckets.
func BucketName(s ids.Service, k Key, n int) string {
	return fmt.Sprintf("ledger/%s/%d", s, xxhash.Sum64String(string(k))%uint64(n))
}
