// Package event writes the numbered log events of all processes.
//
// # Usage
//
//	log := event.New(os.Stderr, slog.LevelInfo, "entry-1")
//	log.Write(event.AttemptLost, "upstream", vm, "attempt", n)
package event

import (
	"context"
	"io"
	"log"
	"log/slog"
)

// Log writes events as JSON lines.
type Log struct {
	slog  *slog.Logger
	level *slog.LevelVar
}

// New returns a log of the VM's process; lines below the level are left out.
func New(w io.Writer, level slog.Level, vm string) *Log {
	variable := &slog.LevelVar{}
	variable.Set(level)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: variable})
	return &Log{slog.New(handler).With("vm", vm), variable}
}

// Write writes one event with its attributes as key and value pairs.
func (l *Log) Write(k Kind, args ...any) {
	l.slog.With("event", k.Number).Log(context.Background(), k.Level, k.Title, args...)
}

// SetLevel changes the level below which lines are left out.
func (l *Log) SetLevel(level slog.Level) { l.level.Set(level) }

// StdLogger returns a logger for libraries that want one of the standard package; its lines are warnings.
func (l *Log) StdLogger() *log.Logger { return slog.NewLogLogger(l.slog.Handler(), slog.LevelWarn) }
