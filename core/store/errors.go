package store

import "errors"

// ErrCompacted is returned by a watch whose changes the store has already dropped: list the prefix again.
var ErrCompacted = errors.New("store: history is no longer available; list the prefix again")

// ErrRestored is returned where the store has returned from an older copy between two calls that belong together: list the prefixes again.
var ErrRestored = errors.New("store: it has returned from an older copy; list the prefixes again")

// ErrUnusable is returned where the store has answered with something that cannot be used, such as a reply that is too large or cannot be
// decoded. The same call would be answered in the same way: instead of watching on, list the prefix again.
var ErrUnusable = errors.New("store: its answer cannot be used; list the prefix again")

// ErrBrokenOff is returned where a call has ended while its answer was arriving: list the prefix again, since a watch may get the same
// long answer once more.
var ErrBrokenOff = errors.New("store: the call ended while its answer was arriving; list the prefix again")

// ErrLeaseEnded is returned for a lease that has ended: open a new one.
var ErrLeaseEnded = errors.New("store: lease has ended; open a new one")

// ErrConflict is returned for a transaction that had no effect because a key has changed: read the keys again.
var ErrConflict = errors.New("store: an expected key has changed; read the keys again")
