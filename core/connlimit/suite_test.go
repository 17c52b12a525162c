package connlimit_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestConnlimit(t *testing.T) { testkit.Run(t, "connlimit") }
