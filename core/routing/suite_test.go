package routing_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestRouting(t *testing.T) { testkit.Run(t, "routing") }
