package httpclose_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestHTTPClose(t *testing.T) { testkit.Run(t, "httpclose") }
