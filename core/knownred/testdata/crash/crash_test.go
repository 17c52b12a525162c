package crash_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"

	"bilberrylug.dev/core/testkit"
)

func TestCrash(t *testing.T) { testkit.Run(t, "crash") }

var _ = Describe("a shelf", func() {
	It("falls", func() {
		go func() { panic("fallen") }()
		select {}
	})
})
