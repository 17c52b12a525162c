package activeconfig_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestActiveConfig(t *testing.T) { testkit.Run(t, "activeconfig") }
