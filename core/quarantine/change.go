package quarantine

import (
	"strconv"
	"time"

	"bilberrylug.dev/core/ids"
)

// State is the state that a breaker has entered.
type State string

// The states of a breaker.
const (
	Opened   State = "opened"
	Released State = "released"
)

// Change is a decision on a part, with its inputs.
type Change struct {
	Part   Part
	State  State
	Reason string
	Epoch  uint32
	// OpenFor is how long the breaker stays open, Age the time since it opened.
	OpenFor time.Duration
	Age     time.Duration
	// Crashes is the number of incidents against the part, Routers the ones that reported them.
	Crashes int
	Routers []ids.VM
	// LastCrashAge and SoundAge are the times since the last crash and the last sound run, or negative if none is known.
	LastCrashAge time.Duration
	SoundAge     time.Duration
	// Alternatives are the parts that explain the crashes as well.
	Alternatives []Part
}

// unknownAge is the age of what is not known.
const unknownAge = time.Duration(-1)

func (b *breaker) change(state State, reason string, s *suspicion, now time.Time) Change {
	c := Change{
		Part: b.part, State: state, Reason: reason, Epoch: b.epoch, OpenFor: b.openFor, Age: now.Sub(b.openedAt),
		Crashes: b.crashes, Routers: b.routers, LastCrashAge: unknownAge, SoundAge: unknownAge, Alternatives: b.alternatives,
	}
	if !b.standing() {
		c.SoundAge = now.Sub(b.releasedAt)
	}
	if s != nil {
		c.Crashes, c.Routers, c.LastCrashAge = s.count, s.routers, now.Sub(s.lastAt)
		c.SoundAge = unknownAge
		if s.everSound() {
			c.SoundAge = now.Sub(s.soundAt)
		}
	}
	return c
}

// LogFields returns the change and its inputs for a log line.
func (c Change) LogFields() []any {
	fields := []any{
		"part", c.Part, "state", string(c.State), "reason", c.Reason, "epoch", c.Epoch, "age", c.Age.String(),
		"open_for", c.OpenFor.String(), "crashes", c.Crashes, "reported_by", c.Routers,
	}
	if c.LastCrashAge >= 0 {
		fields = append(fields, "last_crash_age", c.LastCrashAge.String())
	}
	if c.SoundAge >= 0 {
		fields = append(fields, "sound_age", c.SoundAge.String())
	}
	if len(c.Alternatives) > 0 {
		fields = append(fields, "alternatives", c.Alternatives)
	}
	return fields
}

// String returns the hash in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }
