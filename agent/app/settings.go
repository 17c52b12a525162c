package app

import (
	"strings"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/settings"
)

// Settings of an agent.
type Settings struct {
	settings.VM `yaml:",inline"`

	Service  ids.Service `yaml:"service"`
	Upstream string      `yaml:"upstream"`
	Kind     string      `yaml:"kind"`
	// ChecksFence says that the upstream refuses orders with an old fencing number itself.
	ChecksFence bool `yaml:"checks_fence"`
	// JournalMegabytes bounds the journals that this agent keeps for routers.
	JournalMegabytes int `yaml:"journal_megabytes"`
	// Metrics is the address of the metrics page; empty means none.
	Metrics string `yaml:"metrics"`
}

// defaultJournalMegabytes bounds the journals when the settings do not.
const defaultJournalMegabytes = 64

// Check implements settings.Checker.
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
		return fault.New(fault.SettingsInvalid, "journal_megabytes must be above zero")
	}
	return nil
}

func (s Settings) journalBytes() int {
	if s.JournalMegabytes == 0 {
		return defaultJournalMegabytes << 20
	}
	return s.JournalMegabytes << 20
}
