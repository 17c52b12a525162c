// Package event defines the numbered log events of all processes and writes them.
//
// # Usage
//
//	log := event.New(os.Stderr, slog.LevelInfo, "entry-1")
//	log.Write(event.AttemptLost, "upstream", vm, "attempt", n)
package event

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"slices"
)

// Log writes events as JSON lines.
type Log struct {
	slog  *slog.Logger
	level *slog.LevelVar
}

// New returns a log for the process on the given VM. Events below the level are discarded.
func New(w io.Writer, level slog.Level, vm string) *Log {
	levelVar := &slog.LevelVar{}
	levelVar.Set(level)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levelVar})
	return &Log{slog.New(handler).With("vm", vm), levelVar}
}

// Write logs an event with args as alternating attribute keys and values. Long texts are cut: errors quote what others have sent.
func (l *Log) Write(k Kind, args ...any) {
	l.slog.With("event", k.Number).Log(context.Background(), k.Level, k.Title, bounded(args)...)
}

// bounded returns the arguments with long texts cut.
func bounded(args []any) []any {
	out := slices.Clone(args)
	for i, a := range out {
		if s, ok := a.(string); ok && len(s) > maxFieldBytes {
			out[i] = s[:maxFieldBytes] + "..."
		}
	}
	return out
}

// Panic logs a panic of a goroutine with its stack.
func (l *Log) Panic(value any, stack []byte) { l.RequestPanic("", value, stack) }

// RequestPanic logs a panic in the handling of a request.
func (l *Log) RequestPanic(request string, value any, stack []byte) {
	l.Write(Panicked, "request", request, "value", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// maxFieldBytes bounds a text of an event.
const maxFieldBytes = 4 << 10

// maxStackBytes bounds the part of a stack that is logged.
const maxStackBytes = 4 << 10

// SetLevel changes the level below which events are discarded.
func (l *Log) SetLevel(level slog.Level) { l.level.Set(level) }

// StdLogger returns a logger for libraries that take a [log.Logger]. It logs every line as a warning.
func (l *Log) StdLogger() *log.Logger { return slog.NewLogLogger(l.slog.Handler(), slog.LevelWarn) }
