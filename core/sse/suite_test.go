package sse_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestSSE(t *testing.T) { testkit.Run(t, "sse") }
