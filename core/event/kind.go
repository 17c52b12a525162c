package event

import "log/slog"

// Kind describes a log event: its number, level and message, and what an operator has to do.
type Kind struct {
	Number string
	Level  slog.Level
	Title  string
	Action string
}
