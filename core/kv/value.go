package kv

// Value is a key's content with the index of its last change. Index zero means that the key does not exist.
type Value struct {
	Body    []byte `json:"body"`
	Index   uint64 `json:"index"`
	Session string `json:"session,omitempty"`
}

// Session is a lease of the platform's service.
type Session string
