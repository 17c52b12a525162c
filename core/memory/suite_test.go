package memory_test

import (
	"flag"
	"testing"

	"bilberrylug.dev/core/testkit"
)

// The number of checks and their length are fixed, as the seed is, so that every run gives the same result.
func init() {
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.steps", "80")
}

func TestMemory(t *testing.T) { testkit.Run(t, "memory") }
