package admission_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestAdmission(t *testing.T) { testkit.Run(t, "admission") }
