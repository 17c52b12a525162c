package fleet_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestFleet(t *testing.T) { testkit.Run(t, "fleet") }
