// Package fault defines the typed errors of bilberrylug and their catalogue.
//
// Every refusal that a caller or operator can see is an [Error] with a [Code] from the [Catalogue]. The [Kind] of the code
// states what the refusal asserts about the work: a fault with the claim [NotRun] asserts that the work did not run.
//
// # Usage
//
//	return fault.New(fault.QueueFull, "service %s", name)
//
//	if fault.CodeOf(err) == fault.StaleRevision { ... }
package fault

import (
	"context"
	"errors"
	"fmt"
)

// Error is a fault with its detail and cause.
type Error struct {
	Kind   Kind
	Detail string
	cause  error
}

// New returns an error with the given code and a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Kind: KindOf(code), Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the given code, a formatted detail and err as its cause.
func Wrap(code Code, err error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.cause = err
	return e
}

// Error returns number, title, detail, cause and remedy on one line.
func (e *Error) Error() string {
	s := e.Kind.Number + " " + e.Kind.Title
	if e.Detail != "" {
		s += " (" + e.Detail + ")"
	}
	if e.cause != nil {
		s += ": " + e.cause.Error() + "."
	}
	return s + " " + e.Kind.Remedy
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the catalogue entry of a code, or that of [Internal] if the code is unknown.
func KindOf(code Code) Kind {
	for _, k := range Catalogue {
		if k.Code == code {
			return k
		}
	}
	return KindOf(Internal)
}

// As returns err as a typed error. An ended context becomes [UpstreamLost] and not [DeadlineExceeded], which would claim
// that the work did not run although it may have. Other errors become [Internal].
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return Wrap(UpstreamLost, err, "context ended")
	}
	return Wrap(Internal, err, "unexpected")
}

// CodeOf returns the code of err, or the empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return As(err).Kind.Code
}
