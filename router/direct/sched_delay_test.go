package direct

import (
	"io"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
)

// observeDelays records n equal measurements and reports whether the delay then counts as high.
func observeDelays(m *schedDelayMeter, delay time.Duration, n int) bool {
	for range n {
		m.observe(delay)
	}
	return m.high.Load()
}

var _ = Describe("a router with scheduling delay", func() {
	var m *schedDelayMeter
	BeforeEach(func() {
		m = &schedDelayMeter{clock: clockwork.NewFakeClock(), log: event.New(io.Discard, slog.LevelError, "entry")}
	})
	It("stays ready during a short burst of CPU load", func() {
		Expect(observeDelays(m, 100*time.Millisecond, 2)).To(BeFalse())
		Expect(observeDelays(m, time.Millisecond, 20)).To(BeFalse())
	})
	It("is not ready within a second on a VM that is eight times slower, and becomes ready again afterwards", func() {
		Expect(observeDelays(m, 80*time.Millisecond, int(time.Second/(delayInterval+80*time.Millisecond)))).To(BeTrue())
		Expect(observeDelays(m, 20*time.Millisecond, 20)).To(BeTrue(), "the delay is still too high")
		Expect(observeDelays(m, time.Millisecond, 40)).To(BeFalse())
	})
})
