package knownred_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestKnownRed(t *testing.T) { testkit.Run(t, "knownred") }
