package journal_test

import (
	"testing"

	"bilberrylug.dev/core/testkit"
)

func TestJournal(t *testing.T) { testkit.Run(t, "journal") }
