package activeconfig_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestInforce(t *testing.T) { testkit.Run(t, "inforce") }
