package pace_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestPace(t *testing.T) { testkit.Run(t, "pace") }
