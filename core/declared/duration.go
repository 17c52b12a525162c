package declared

import (
	"fmt"
	"time"
)

// Duration is a time span written with its unit, such as 50ms or 24h.
type Duration time.Duration

// UnmarshalText parses the span; a number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a time span; write a number with a unit, such as 50ms, 2s or 24h", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the span with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the span as a standard duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
