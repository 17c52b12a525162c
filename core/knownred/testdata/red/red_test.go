package red_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/testkit"
)

func TestRed(t *testing.T) { testkit.Run(t, "red") }

func TestPlain(t *testing.T) { t.Error("plain failure") }

func TestSound(*testing.T) {}

var _ = Describe("a shelf", func() {
	It("holds its books", func() {})
	It("sorts   its books", func() { Expect(1).To(Equal(2), "sorting failure") })
	It("lends its books", func() { panic("lending failure") })
	It("counts its books", func() { Skip("not today") })
})
