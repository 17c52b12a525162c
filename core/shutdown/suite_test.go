package shutdown_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestStopping(t *testing.T) { testkit.Run(t, "stopping") }
