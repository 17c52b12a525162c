package ledgerstore_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestLedgerstore(t *testing.T) { testkit.Run(t, "ledgerstore") }
