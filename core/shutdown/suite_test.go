package shutdown_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestShutdown(t *testing.T) { testkit.Run(t, "shutdown") }
