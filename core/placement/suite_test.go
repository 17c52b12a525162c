package placement_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestPlacing(t *testing.T) { testkit.Run(t, "placing") }
