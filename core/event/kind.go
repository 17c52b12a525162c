package event

import "log/slog"

// Kind is one row of the catalogue of log events.
type Kind struct {
	Number string
	Level  slog.Level
	Title  string
	Action string
}
