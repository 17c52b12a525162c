package ledger_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestLedger(t *testing.T) { testkit.Run(t, "ledger") }
