// Package settings reads the YAML settings of a process, strictly.
//
// # Usage
//
//	cfg, err := settings.Load[RouterSettings]("router.yaml")
package settings

import (
	"bytes"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"

	"bilberrylug.dev/core/fault"
)

// Checker is implemented by settings that can name their own faults.
type Checker interface {
	// Check returns a fault of kind settings_invalid, or nil.
	Check() error
}

// Load reads and checks a settings file. Unknown fields are faults; the message names line and column.
func Load[T Checker](path string) (T, error) {
	var cfg T
	body, err := os.ReadFile(path)
	if err != nil {
		return cfg, fault.Wrap(fault.SettingsInvalid, err, "%s", path)
	}
	if err := yaml.NewDecoder(bytes.NewReader(body), yaml.Strict()).Decode(&cfg); err != nil {
		return cfg, fault.Wrap(fault.SettingsInvalid, err, "%s", path)
	}
	if err := cfg.Check(); err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}
