package group

import (
	"errors"
	"runtime/debug"
)

// ErrPanicked is the error of a task that ended by a panic.
var ErrPanicked = errors.New("unexpected error; see the log")

// Try returns the result of f. If f panics, the panic is passed to onPanic and fallback is returned.
func Try[V any](onPanic PanicFunc, fallback V, f func() V) (out V) {
	defer func() {
		if value := recover(); value != nil {
			onPanic(value, debug.Stack())
			out = fallback
		}
	}()
	return f()
}
