package gossip_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestGossip(t *testing.T) { testkit.Run(t, "gossip") }
