package plain_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestPlain(t *testing.T) { testkit.Run(t, "plain") }
