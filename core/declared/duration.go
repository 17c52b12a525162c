package declared

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a time.Duration that is written with its unit, such as 50ms or 24h.
type Duration time.Duration

// UnmarshalYAML parses a duration. A number without a unit is a syntax error with its line.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	token := node.GetToken()
	if err := d.UnmarshalText([]byte(token.Value)); err != nil {
		return &yaml.SyntaxError{Message: err.Error(), Token: token}
	}
	return nil
}

// UnmarshalText parses a duration from a declared file or a configuration chunk. A negative one is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a time span; write a number with a unit, such as 50ms, 2s or 24h", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
