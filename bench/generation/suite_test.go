package generation_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestGeneration(t *testing.T) { testkit.Run(t, "generation") }
