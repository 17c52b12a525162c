package settings

import (
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// VM holds the identity, location and connections of a process. It is part of the settings of routers and agents.
type VM struct {
	ID            ids.VM            `yaml:"vm"`
	Region        ids.Region        `yaml:"region"`
	FailureDomain ids.FailureDomain `yaml:"failure_domain"`
	// Listen is the address for connections from other processes, Routers the addresses of the routers to contact first.
	Listen   string   `yaml:"listen"`
	Routers  []string `yaml:"routers"`
	Platform Platform `yaml:"platform"`
	TLS      TLS      `yaml:"tls"`
	Logging  `yaml:",inline"`
}

// Platform holds the address of the platform's service and the process's share of its rate limits.
type Platform struct {
	Address         string  `yaml:"address"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
	WritesPerSecond float64 `yaml:"writes_per_second"`
}

// TLS names the certificate files for connections between processes. Either all three are set or none.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// Enabled reports whether connections between processes use TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Check returns a settings_invalid fault for the first missing or invalid field, or nil.
func (v VM) Check() error {
	required := []struct{ name, value string }{
		{"vm", string(v.ID)},
		{"region", string(v.Region)},
		{"failure_domain", string(v.FailureDomain)},
		{"listen", v.Listen},
		{"platform.address", v.Platform.Address},
	}
	for _, r := range required {
		if r.value == "" {
			return fault.New(fault.SettingsInvalid, "%s is missing", r.name)
		}
	}
	if v.Platform.ReadsPerSecond <= 0 || v.Platform.WritesPerSecond <= 0 {
		return fault.New(fault.SettingsInvalid, "platform.reads_per_second and platform.writes_per_second must be above zero")
	}
	t := v.TLS
	if (t.CertFile == "") != (t.KeyFile == "") || (t.CertFile == "") != (t.CAFile == "") {
		return fault.New(fault.SettingsInvalid, "tls needs cert_file, key_file and ca_file together")
	}
	return nil
}
