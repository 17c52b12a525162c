package settings

import "log/slog"

// Logging is the part of the settings that bounds the log.
type Logging struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// Level returns the log level by name; the empty name is info.
func (l Logging) Level() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(l.LogLevel)) != nil {
		return slog.LevelInfo
	}
	return level
}
