package kv

// Keys and key prefixes in the platform's service.
const (
	// HeadKey holds the head of the accepted configuration.
	HeadKey = "config/head"
	// ChunkPrefix is the prefix of the keys of configuration chunks; the chunk's hash follows.
	ChunkPrefix = "config/chunk/"
	// OrderLeaseKey is locked by the router that gives orders. Its index is the fencing number.
	OrderLeaseKey = "orders/lease"
)
