package fleetstatus_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/ctl/fleetstatus"
)

var _ = Describe("the status of a fleet", func() {
	It("counts a revision as active only on live VMs", func() {
		f := fleetstatus.Fleet{Members: []fleetstatus.Member{
			{VM: "a", State: "live", Revision: 7},
			{VM: "b", State: "live", Revision: 6},
			{VM: "c", State: "suspect", Revision: 7},
			{VM: "d", State: "leaving", Revision: 8},
			{VM: "e", State: "live", Revision: 8},
		}}
		Expect(f.Active(7)).To(Equal(2))
		Expect(f.Behind(7)).To(Equal([]string{"b"}))
	})
})
