package membership_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestMembership(t *testing.T) { testkit.Run(t, "membership") }
