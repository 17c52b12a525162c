package store

import "errors"

// ErrCompacted is returned by a watch whose history the store has dropped: list the prefix anew.
var ErrCompacted = errors.New("store: history is no longer available; list the prefix anew")

// ErrLeaseEnded is returned for a lease that is not held any more: open a new one.
var ErrLeaseEnded = errors.New("store: lease has ended; open a new one")
