package sse_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestEvents(t *testing.T) { testkit.Run(t, "events") }
