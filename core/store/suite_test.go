package store_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestStore(t *testing.T) { testkit.Run(t, "store") }
