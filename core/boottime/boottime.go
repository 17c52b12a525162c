// Package boottime reads the time since the machine was started, which goes on while the machine is suspended. The steady clock of a
// process stands still meanwhile, and the time of day may be set.
//
// # Usage
//
//	clock, err := boottime.System()
//	sent := clock.Now()
//	...
//	age := clock.Now().Sub(sent) // never less than what has passed outside the machine
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on one machine. The zero Instant stands for never.
type Instant time.Duration

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock tells the current instant.
type Clock interface {
	Now() Instant
}

type systemClock struct{}

// System returns the clock of this machine. It fails if the kernel does not offer one.
func System() (Clock, error) {
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, new(unix.Timespec)); err != nil {
		return nil, fmt.Errorf("read the kernel's CLOCK_BOOTTIME, which Linux offers since 2.6.39: %w", err)
	}
	return systemClock{}, nil
}

// Now returns the time since the machine was started.
func (systemClock) Now() Instant {
	var ts unix.Timespec
	// System has read the same clock, and nothing else can fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return Instant(ts.Nano())
}
