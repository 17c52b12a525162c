package generation_test

import (
	"flag"
	"testing"

	"bilberrylug.dev/core/testkit"
)

// The number of simulations and their length are fixed, as the seed is, so that every run gives the same result.
func init() {
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "120")
}

func TestGeneration(t *testing.T) { testkit.Run(t, "generation") }
