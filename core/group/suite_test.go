package group_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestGroup(t *testing.T) { testkit.Run(t, "group") }
