package kv

// Value is the content of a key. Index is that of the last change; zero means that the key does not exist. Session is the
// session that holds the key, if any.
type Value struct {
	Body    []byte `json:"body"`
	Index   uint64 `json:"index"`
	Session string `json:"session,omitempty"`
}

// Session is the ID of a lease of the platform's service.
type Session string
