package app

import (
	"time"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/settings"
)

// Settings of a router.
type Settings struct {
	settings.VM `yaml:",inline"`

	// Callers is the address for callers.
	Callers string `yaml:"callers"`
	// CallersTLS names the certificate that callers are shown; empty means plain HTTP.
	CallersTLS CallersTLS `yaml:"callers_tls"`
	// Operators is the address for operators.
	Operators string `yaml:"operators"`
	// CallerGrace is how long an answer goes on without its caller.
	CallerGrace declared.Duration `yaml:"caller_grace"`
	// AnswerMegabytes bounds the answers under way.
	AnswerMegabytes int `yaml:"answer_megabytes"`
	// LoadsPerMinute is the rate of model loads that the weight store stands, for the fleet.
	LoadsPerMinute float64 `yaml:"loads_per_minute"`
}

// CallersTLS names the files of the callers' listener.
type CallersTLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
}

const (
	defaultCallerGrace     = 10 * time.Second
	defaultAnswerMegabytes = 64
	defaultLoadsPerMinute  = 60
)

// Check implements settings.Checker.
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
		return fault.New(fault.SettingsInvalid, "callers_tls needs cert_file and key_file together")
	}
	if s.AnswerMegabytes < 0 || s.LoadsPerMinute < 0 {
		return fault.New(fault.SettingsInvalid, "answer_megabytes and loads_per_minute must be above zero")
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
