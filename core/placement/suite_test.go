package placement_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestPlacement(t *testing.T) { testkit.Run(t, "placement") }
