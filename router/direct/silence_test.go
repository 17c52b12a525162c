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

// paced plays events with a pause at an engine whose usual pace is 28 ms an event, beside unread prompts, and returns how slow
// the engine is taken to be.
func paced(pause time.Duration, unread int) float64 {
	w, _ := newTestWorld()
	clock, ok := w.clock.(*clockwork.FakeClock)
	Expect(ok).To(BeTrue())
	w.pace.Record(28*time.Millisecond, 4)
	s := &stream{exchange: &exchange{
		edge: &edge{world: w}, service: routing.Service{Name: "engines", Engine: &routing.Engine{EventTokens: 4}},
	}}
	r := &run{at: fleet.Upstream{Entry: fleet.Entry{ID: "n1", Domain: "n"}}}
	w.picker.Reserve("n1", placement.Request{Prompt: unread, Output: 1}, "")
	for range 90 {
		clock.Advance(pause)
		r.silence.event(clock.Now())
		s.notePace(r)
	}
	return w.picker.Slowness("n1", clock.Now())
}

var _ = Describe("the pace of a run", func() {
	It("engine slowed five times in the middle of streams: it counts as slow", func() {
		Expect(paced(140*time.Millisecond, 0)).To(BeNumerically("~", 5, 1))
	})
	It("prompts of others read beside: it does not", func() {
		Expect(paced(140*time.Millisecond, 5000)).To(BeNumerically("==", 1))
	})
	It("usual noise: it does not", func() {
		Expect(paced(70*time.Millisecond, 0)).To(BeNumerically("==", 1))
	})
})

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
