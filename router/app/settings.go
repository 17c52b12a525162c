package app

import (
	"time"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/settings"
)

// Settings holds the settings of a router that reaches its upstreams through agents, as read from its settings file.
type Settings struct {
	settings.VM `yaml:",inline"`

	// Callers is the listen address for callers.
	Callers string `yaml:"callers"`
	// CallersTLS is the certificate of the callers' listener. If it is empty, callers are served over plain HTTP.
	CallersTLS CallersTLS `yaml:"callers_tls"`
	// Operators is the listen address for status and metrics.
	Operators string `yaml:"operators"`
	// CallerGrace is how long an answer continues after its last caller has disconnected.
	CallerGrace declared.Duration `yaml:"caller_grace"`
	// AnswerMegabytes limits the memory reserved for answers in progress.
	AnswerMegabytes int `yaml:"answer_megabytes"`
	// LoadsPerMinute is the rate of model loads, over the whole fleet, that the store of the model weights can sustain.
	LoadsPerMinute float64 `yaml:"loads_per_minute"`
}

// CallersTLS holds the paths of the certificate and the key of the callers' listener.
type CallersTLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
}

const (
	defaultCallerGrace     = 10 * time.Second
	defaultAnswerMegabytes = 64
	defaultLoadsPerMinute  = 60
)

// Check implements [settings.Checker].
func (s Settings) Check() error {
	if err := s.VM.Check(); err != nil {
		return err
	}
	if s.Callers == "" {
		return fault.New(fault.SettingsInvalid, "callers is missing")
	}
	if s.Operators == "" {
		return fault.New(fault.SettingsInvalid, "operators is missing")
	}
	if (s.CallersTLS.CertFile == "") != (s.CallersTLS.KeyFile == "") {
		return fault.New(fault.SettingsInvalid, "callers_tls: cert_file and key_file must be set together")
	}
	if s.AnswerMegabytes < 0 || s.LoadsPerMinute < 0 {
		return fault.New(fault.SettingsInvalid, "answer_megabytes and loads_per_minute must not be negative")
	}
	return nil
}

func (s Settings) withDefaults() Settings {
	if s.CallerGrace == 0 {
		s.CallerGrace = declared.Duration(defaultCallerGrace)
	}
	if s.AnswerMegabytes == 0 {
		s.AnswerMegabytes = defaultAnswerMegabytes
	}
	if s.LoadsPerMinute == 0 {
		s.LoadsPerMinute = defaultLoadsPerMinute
	}
	return s
}
