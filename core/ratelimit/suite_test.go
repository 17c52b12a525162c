package ratelimit_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestRateLimit(t *testing.T) { testkit.Run(t, "ratelimit") }
