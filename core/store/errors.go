package store

import "errors"

// ErrCompacted is returned by a watch whose changes the store has already dropped: list the prefix again.
var ErrCompacted = errors.New("store: history is no longer available; list the prefix again")

// ErrLeaseEnded is returned for a lease that has ended: open a new one.
var ErrLeaseEnded = errors.New("store: lease has ended; open a new one")
