package wireconv_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestWireconv(t *testing.T) { testkit.Run(t, "wireconv") }
