package settings

import "log/slog"

// Level returns the log level by name; the empty name is info.
func (v VM) Level() slog.Level {
	var l slog.Level
	if l.UnmarshalText([]byte(v.LogLevel)) != nil {
		return slog.LevelInfo
	}
	return l
}
