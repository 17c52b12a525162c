// Package settings loads the YAML settings of a process. Unknown fields are errors.
//
// # Usage
//
//	cfg, err := settings.Load[RouterSettings]("router.yaml")
package settings

import (
	"fmt"
	"os"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/strictyaml"
)

// Checker is implemented by settings that can be validated.
type Checker interface {
	// Check returns a fault of kind settings_invalid, or nil.
	Check() error
}

// Load reads and validates a settings file. The errors are settings_invalid faults; for an unknown field or a syntax error
// the message gives line and column.
func Load[T Checker](path string) (T, error) {
	var cfg T
	body, err := os.ReadFile(path)
	if err != nil {
		return cfg, fault.Wrap(fault.SettingsInvalid, err, "%s", path)
	}
	if err := strictyaml.Decode(body, &cfg); err != nil {
		return cfg, fault.Wrap(fault.SettingsInvalid, err, "%s", path)
	}
	if err := cfg.Check(); err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}
