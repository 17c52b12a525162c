package upstream_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestUpstream(t *testing.T) { testkit.Run(t, "upstream") }
