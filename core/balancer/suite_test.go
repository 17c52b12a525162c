package balancer_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestBalancer(t *testing.T) { testkit.Run(t, "balancer") }
