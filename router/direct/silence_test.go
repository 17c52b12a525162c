package direct

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// after plays events with the given pauses and returns the silence after which the upstream is probed.
func after(suspect bool, pauses ...time.Duration) time.Duration {
	q := &silence{}
	now := time.Unix(1000, 0)
	q.event(now)
	for _, p := range pauses {
		now = now.Add(p)
		q.event(now)
	}
	return q.limit(suspect)
}

func repeat(p time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = p
	}
	return out
}

var _ = Describe("the silence after which an upstream is probed", func() {
	// A pause of 700 ms makes a stream late: the probe, the connection and the first event of the next run must fit behind it.
	const allowed = 700 * time.Millisecond

	It("engine lost in the middle of a quick stream: four usual pauses", func() {
		Expect(after(false, repeat(28*time.Millisecond, 30)...)).To(Equal(112 * time.Millisecond))
	})
	It("prompt of another caller read beside: not before that makes an event late, and in time all the same", func() {
		limit := after(false, append(repeat(28*time.Millisecond, 30), repeat(130*time.Millisecond, 10)...)...)
		Expect(limit).To(BeNumerically(">", 130*time.Millisecond))
		Expect(limit + maxProbe).To(BeNumerically("<", allowed))
	})
	It("failure domain being lost: at once", func() {
		Expect(after(true, repeat(28*time.Millisecond, 30)...)).To(Equal(suspectSilence))
	})
	It("prompt still being read: later, since a first event is not due yet", func() {
		Expect((&silence{}).limit(false)).To(Equal(firstSilence))
	})
	It("engine that is very quick or very slow: within bounds", func() {
		Expect(after(false, repeat(time.Millisecond, 30)...)).To(Equal(minSilence))
		Expect(after(false, repeat(time.Second, 30)...)).To(Equal(maxSilence))
	})
})
