package store

import "errors"

// ErrCompacted is returned by a watch whose changes the store has already dropped: list the prefix again.
var ErrCompacted = errors.New("store: history is no longer available; list the prefix again")

// ErrRestored is returned where the store has returned from an older copy between two calls that belong together: list the prefixes again.
var ErrRestored = errors.New("store: it has returned from an older copy; list the prefixes again")

// ErrLeaseEnded is returned for a lease that has ended: open a new one.
var ErrLeaseEnded = errors.New("store: lease has ended; open a new one")
