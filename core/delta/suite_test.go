package delta_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestDelta(t *testing.T) { testkit.Run(t, "delta") }
