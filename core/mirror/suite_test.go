package mirror_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestMirror(t *testing.T) { testkit.Run(t, "mirror") }
