package kv

// Keys in the platform's service.
const (
	// HeadKey holds the head of the accepted configuration.
	HeadKey = "config/head"
	// ChunkPrefix stands before the hash of a configuration chunk.
	ChunkPrefix = "config/chunk/"
	// OrderLeaseKey is held by the router that gives orders; its index is the fencing number.
	OrderLeaseKey = "orders/lease"
)
