package wireconv_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

var _ = Describe("the windows of upstreams", func() {
	It("survive the wire", func() {
		list := []pace.Report{
			{Start: pace.Start{ID: "i-1", Started: -7}, Epoch: 2, Base: 3.5, Gained: 0.25},
			{Start: pace.Start{ID: "i-2", Started: 1 << 60}, Established: true},
		}
		encoded, err := proto.Marshal(&wire.News{Sender: "r1", Windows: wireconv.WindowsToWire(list)})
		Expect(err).NotTo(HaveOccurred())
		var decoded wire.News
		Expect(proto.Unmarshal(encoded, &decoded)).To(Succeed())
		Expect(wireconv.WindowsFromWire(decoded.GetWindows())).To(Equal(list))
	})
	It("take less than 50 bytes each", func() {
		r := pace.Report{Start: pace.Start{ID: "i-5283a9a0af", Started: 1 << 60}, Epoch: 300, Base: 3.5, Gained: 7.25}
		news := &wire.News{Windows: wireconv.WindowsToWire([]pace.Report{r, r, r, r, r, r, r, r, r, r})}
		Expect(proto.Size(news)).To(BeNumerically("<", 500))
	})
})
