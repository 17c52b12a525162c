package declared

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keyHashPrefix marks the scheme, so that another one can follow.
const keyHashPrefix = "sha256:"

// HashKey returns the form in which an API key stands in the configuration. Keys are long random strings with the
// name of their workspace in front, which serves as salt and lets a router find the one hash to compare.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte("bilberrylug api key\x00" + key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// ValidKeyHash tells whether a string has the form that [HashKey] returns.
func ValidKeyHash(s string) bool {
	digits, found := strings.CutPrefix(s, keyHashPrefix)
	if !found {
		return false
	}
	b, err := hex.DecodeString(digits)
	return err == nil && len(b) == sha256.Size
}
