package rollout_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestRollout(t *testing.T) { testkit.Run(t, "rollout") }
