package direct

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an upstream that leaves just after the store was reached again", func() {
	It("is removed within the two seconds in which a change becomes active, whenever the check is made", func() {
		Expect(reregisterTime + expireInterval).To(BeNumerically("<", 2*time.Second))
	})
})
