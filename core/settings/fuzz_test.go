package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/settings"
)

// fuzzed is a settings type with nested values.
type fuzzed struct {
	Name  string   `yaml:"name"`
	List  []string `yaml:"list"`
	Inner struct {
		Number float64 `yaml:"number"`
	} `yaml:"inner"`
	settings.Logging `yaml:",inline"`
}

func (fuzzed) Check() error { return nil }

func FuzzLoad(f *testing.F) {
	f.Add([]byte("name: a\nlist: [a, b]\ninner:\n  number: 1e9\nlog_level: debug\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, body, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Load[fuzzed](path); err != nil && fault.CodeOf(err) != fault.SettingsInvalid {
			t.Fatalf("not a typed error: %v", err)
		}
	})
}
