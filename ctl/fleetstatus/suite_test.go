package fleetstatus_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestFleetStatus(t *testing.T) { testkit.Run(t, "fleet status") }
