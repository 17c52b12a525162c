package kv_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestKV(t *testing.T) { testkit.Run(t, "kv") }
