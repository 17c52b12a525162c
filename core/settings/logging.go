package settings

import "log/slog"

// Logging holds the log settings of a process.
type Logging struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// Level returns the log level. It is info if the name is empty or unknown.
func (l Logging) Level() slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(l.LogLevel)) != nil {
		return slog.LevelInfo
	}
	return level
}
