package dissemination_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestDissemination(t *testing.T) { testkit.Run(t, "dissemination") }
