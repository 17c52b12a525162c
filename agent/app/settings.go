package app

import (
	"strings"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/settings"
)

// Settings holds the settings of an agent, as read from its settings file.
type Settings struct {
	settings.VM `yaml:",inline"`

	// Service is the name of the declared service that the upstream belongs to.
	Service ids.Service `yaml:"service"`
	// Upstream is the base URL of the upstream, such as http://127.0.0.1:8001.
	Upstream string `yaml:"upstream"`
	// Kind is "model" for a model engine or "plain" for a plain HTTP service.
	Kind string `yaml:"kind"`
	// ChecksFence declares that the upstream itself refuses orders with an old fencing number.
	ChecksFence bool `yaml:"checks_fence"`
	// JournalMegabytes limits the memory for the journals that this agent keeps for routers; zero selects the default.
	JournalMegabytes int `yaml:"journal_megabytes"`
	// Metrics is the listen address of the metrics endpoint; empty disables it.
	Metrics string `yaml:"metrics"`
}

// defaultJournalMegabytes applies if the settings give no journal_megabytes.
const defaultJournalMegabytes = 64

// Check implements [settings.Checker].
func (s Settings) Check() error {
	if err := s.VM.Check(); err != nil {
		return err
	}
	if s.Service == "" {
		return fault.New(fault.SettingsInvalid, "service is missing")
	}
	if !strings.HasPrefix(s.Upstream, "http") {
		return fault.New(fault.SettingsInvalid, "upstream must be an address such as http://127.0.0.1:8001")
	}
	if s.Kind != "model" && s.Kind != "plain" {
		return fault.New(fault.SettingsInvalid, "kind must be model or plain")
	}
	if s.JournalMegabytes < 0 {
		return fault.New(fault.SettingsInvalid, "journal_megabytes must not be negative")
	}
	return nil
}

func (s Settings) journalBytes() int {
	if s.JournalMegabytes == 0 {
		return defaultJournalMegabytes << 20
	}
	return s.JournalMegabytes << 20
}
