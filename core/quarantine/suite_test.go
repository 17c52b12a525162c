package quarantine_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestQuarantine(t *testing.T) { testkit.Run(t, "quarantine") }
