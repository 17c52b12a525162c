package declared_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestDeclared(t *testing.T) { testkit.Run(t, "declared") }
