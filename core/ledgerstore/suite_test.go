package ledgerstore_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestBook(t *testing.T) { testkit.Run(t, "book") }
