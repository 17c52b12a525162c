package store_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/store"
)

var _ = Describe("a revision", func() {
	It("orders changes by era first, and keeps both parts", func() {
		before, err := store.NewRevision(1, 1<<40)
		Expect(err).NotTo(HaveOccurred())
		after, err := store.NewRevision(2, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically(">", before))
		Expect(after.Era()).To(Equal(store.Era(2)))
		Expect(after.Count()).To(BeEquivalentTo(3))
		Expect(after.String()).To(Equal("2.3"))
	})
	It("is refused if its count is too large", func() {
		_, err := store.NewRevision(1, 1<<48)
		var rangeError *store.RangeError
		Expect(err).To(MatchError(ContainSubstring("update the router")))
		Expect(err).To(BeAssignableToTypeOf(rangeError))
	})
})
