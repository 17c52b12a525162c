package direct

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/routing"
)

// stallTimeoutAfter observes events with the given pauses and returns the idle time after which the upstream is probed.
func stallTimeoutAfter(domainSuspected bool, pauses ...time.Duration) time.Duration {
	d := &stallDetector{}
	now := time.Unix(1000, 0)
	d.observe(now)
	for _, p := range pauses {
		now = now.Add(p)
		d.observe(now)
	}
	return d.timeout(domainSuspected)
}

func repeatPause(p time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = p
	}
	return out
}

// slownessAfterPauses observes events with the given pause from an engine whose mean is 28 ms per event and which still has
// the given number of prompt tokens to process, and returns the engine's recorded slowness.
func slownessAfterPauses(pause time.Duration, pending int) float64 {
	st, _ := newTestState()
	clock, ok := st.clock.(*clockwork.FakeClock)
	Expect(ok).To(BeTrue())
	st.tokenTime.Record(28*time.Millisecond, 4)
	s := &stream{exchange: &exchange{
		handler: &handler{state: st}, service: routing.Service{Name: "engines", Engine: &routing.Engine{EventTokens: 4}},
	}}
	r := &run{upstream: fleet.Upstream{Entry: fleet.Entry{ID: "n1", Domain: "n"}}}
	st.picker.Reserve("n1", placement.Request{Prompt: pending, Output: 1}, "")
	for range 90 {
		clock.Advance(pause)
		r.stall.observe(clock.Now())
		s.checkPace(r)
	}
	return st.picker.Slowness("n1", clock.Now())
}

var _ = Describe("the output rate of a run", func() {
	It("marks an engine as slow that becomes five times slower during streams", func() {
		Expect(slownessAfterPauses(140*time.Millisecond, 0)).To(BeNumerically("~", 5, 1))
	})
	It("does not mark an engine as slow that also processes other prompts", func() {
		Expect(slownessAfterPauses(140*time.Millisecond, 5000)).To(BeNumerically("==", 1))
	})
	It("does not mark an engine as slow because of normal variation", func() {
		Expect(slownessAfterPauses(70*time.Millisecond, 0)).To(BeNumerically("==", 1))
	})
})

var _ = Describe("the idle time after which an upstream is probed", func() {
	// A pause of more than 700 ms is too long. The timeout, the probe, the connection and the first event of the next run must
	// fit into it.
	const allowed = 700 * time.Millisecond

	It("is four mean pauses during a fast stream", func() {
		Expect(stallTimeoutAfter(false, repeatPause(28*time.Millisecond, 30)...)).To(Equal(112 * time.Millisecond))
	})
	It("exceeds the pauses while the engine processes another prompt, and still leaves time for the probe", func() {
		limit := stallTimeoutAfter(false, append(repeatPause(28*time.Millisecond, 30), repeatPause(130*time.Millisecond, 10)...)...)
		Expect(limit).To(BeNumerically(">", 130*time.Millisecond))
		Expect(limit + maxProbeTimeout).To(BeNumerically("<", allowed))
	})
	It("is shortest in a suspected failure domain", func() {
		Expect(stallTimeoutAfter(true, repeatPause(28*time.Millisecond, 30)...)).To(Equal(suspectStallTimeout))
	})
	It("is longer before the first event, while the prompt is processed", func() {
		Expect((&stallDetector{}).timeout(false)).To(Equal(firstEventTimeout))
	})
	It("is bounded for very fast and very slow engines", func() {
		Expect(stallTimeoutAfter(false, repeatPause(time.Millisecond, 30)...)).To(Equal(minStallTimeout))
		Expect(stallTimeoutAfter(false, repeatPause(time.Second, 30)...)).To(Equal(maxStallTimeout))
	})
})
