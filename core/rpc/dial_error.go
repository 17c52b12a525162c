package rpc

// DialError says that a peer could not be reached, so that nothing was sent to it.
type DialError struct {
	Address string
	cause   error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return "dial " + e.Address + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }
