package partial_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"

	"bilberrylug.dev/core/testkit"
)

func TestPartial(t *testing.T) { testkit.Run(t, "partial") }

var _ = AfterSuite(func() { Fail("shelf left behind") })

var _ = FDescribe("a shelf", Ordered, func() {
	It("falls", func() { Fail("fallen") })
	It("is put up again", func() {})
})

var _ = It("stands", func() {})
