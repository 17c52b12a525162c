package direct

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestDirect(t *testing.T) { testkit.Run(t, "direct") }
