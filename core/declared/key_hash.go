package declared

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keyHashPrefix names the hash scheme, so that another one can be added later.
const keyHashPrefix = "sha256:"

// HashKey returns the hash of an API key as the configuration stores it. A key is a long random string prefixed with the
// name of its workspace. The name serves as salt and lets a router find the one hash to compare.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte("bilberrylug api key\x00" + key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// ValidKeyHash reports whether s has the format that [HashKey] returns.
func ValidKeyHash(s string) bool {
	digits, found := strings.CutPrefix(s, keyHashPrefix)
	if !found {
		return false
	}
	b, err := hex.DecodeString(digits)
	return err == nil && len(b) == sha256.Size
}
