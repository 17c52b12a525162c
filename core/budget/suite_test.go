package budget_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestBudget(t *testing.T) { testkit.Run(t, "budget") }
