package rpc

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestRPC(t *testing.T) { testkit.Run(t, "rpc") }
