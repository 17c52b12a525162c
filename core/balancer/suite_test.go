package balancer_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestChoice(t *testing.T) { testkit.Run(t, "choice") }
