package boottime_test

import (
	"testing"
	"time"

	"bilberrylug.dev/core/boottime"
)

// Guards against ages that are too small: the clock must pass at least as fast as the steady one.
func TestSystemClockCountsAllTime(t *testing.T) {
	c, err := boottime.System()
	if err != nil {
		t.Fatal(err)
	}
	before, start := c.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := time.Since(start)
	if age := c.Now().Sub(before); age < passed || before <= 0 {
		t.Errorf("%v passed from %v on, want %v or more", age, before, passed)
	}
}
