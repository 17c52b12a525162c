package wireconv_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

var _ = Describe("a report on a rollout", func() {
	// Guards against counts that differ between routers because of the way in which they are sent.
	It("survives the wire", func() {
		r := rollout.Report{
			Service: "pool", Router: "r1", Started: -7, Sequence: 9, Order: 1<<48 | 5, To: "v2", Elapsed: 1500 * time.Millisecond, Verdict: rollout.Rejected,
			Cells: []rollout.Cell{
				{Route: "a", Class: rollout.ClassOld, Domain: "north", Counts: rollout.Counts{Requests: 7, Sent: 8, Answers: 6, Bad: 1}},
				{Route: "a", Class: rollout.ClassNew, Domain: "north", Upstream: "i-1", Counts: rollout.Counts{Sent: 2}},
			},
			Durations: []rollout.DurationCount{{Route: "a", Bucket: 3, Count: 1}, {Route: "a", Bucket: 4, Count: 2}, {Route: "a", Bucket: 9, Count: 3}, {Route: "b", Bucket: 10, Count: 4}},
		}
		encoded, err := proto.Marshal(&wire.News{Sender: "r1", Rollouts: []*wire.RolloutReport{wireconv.RolloutToWire(r)}})
		Expect(err).NotTo(HaveOccurred())
		var decoded wire.News
		Expect(proto.Unmarshal(encoded, &decoded)).To(Succeed())
		Expect(wireconv.RolloutFromWire("r1", decoded.GetRollouts()[0])).To(Equal(r))
	})
	// Guards against a router that ends, or takes a verdict that there is none of, because of an odd message.
	It("leaves out values out of range", func() {
		got := wireconv.RolloutFromWire("r1", &wire.RolloutReport{
			Verdict: 300, Cells: []*wire.RolloutCell{{Class: 9}}, Durations: []*wire.RolloutDurations{{First: 4_000_000_000, Counts: []uint32{1, 2}}, {First: 255, Counts: []uint32{3, 4}}},
		})
		Expect(got.Verdict).To(Equal(rollout.Undecided))
		Expect(got.Cells).To(BeEmpty())
		Expect(got.Durations).To(Equal([]rollout.DurationCount{{Bucket: 255, Count: 3}}))
	})
})
