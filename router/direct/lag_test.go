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

// lagging takes measures in turn and returns whether the router counts as slow behind each.
func lagging(m *lagMeter, late time.Duration, n int) bool {
	for range n {
		m.note(late)
	}
	return m.high.Load()
}

var _ = Describe("a router that gets its turn late", func() {
	var m *lagMeter
	BeforeEach(func() {
		m = &lagMeter{clock: clockwork.NewFakeClock(), log: event.New(io.Discard, slog.LevelError, "entry")}
	})
	It("crest that takes the processor for a moment: stays ready", func() {
		Expect(lagging(m, 100*time.Millisecond, 2)).To(BeFalse())
		Expect(lagging(m, time.Millisecond, 20)).To(BeFalse())
	})
	It("VM slowed eight times for seconds: sends its callers elsewhere within a second, and takes them again afterwards", func() {
		Expect(lagging(m, 80*time.Millisecond, int(time.Second/(lagTick+80*time.Millisecond)))).To(BeTrue())
		Expect(lagging(m, 20*time.Millisecond, 20)).To(BeTrue(), "it is not well yet")
		Expect(lagging(m, time.Millisecond, 40)).To(BeFalse())
	})
})
