package direct

import (
	"bytes"
	"log/slog"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/metric"
)

var _ = Describe("the report of what is shed", func() {
	// Guards against a line for each hostile request, which would take more than the request itself.
	It("is at most one line a second, with the counts since the last one and the address of most of them", func() {
		var out bytes.Buffer
		clock := clockwork.NewFakeClock()
		m := newCallerMemory(112, clock, event.New(&out, slog.LevelInfo, "entry"), metric.New())
		lines := func() []string { return strings.Split(strings.TrimSpace(out.String()), "\n") }
		m.report(3)
		Expect(out.Len()).To(BeZero(), "nothing was shed")
		m.recordShed("10.0.0.1:1000")
		m.report(3)
		for range 1000 {
			m.recordShed("10.0.0.2:1000")
			m.recordClosed("10.0.0.3:1000", "idle")
			m.recordUnread("10.0.0.2:1001")
			m.report(3)
		}
		Expect(lines()).To(HaveLen(1))
		Expect(lines()[0]).To(ContainSubstring(`"event":"EV4320"`))
		clock.Advance(time.Second)
		m.report(3)
		Expect(lines()).To(HaveLen(2))
		Expect(lines()[1]).To(ContainSubstring(`"bodies":1000,"answers":1000,"connections":1000,"most_from":"10.0.0.2","of_these":2000,"sources":2`))
		clock.Advance(time.Second)
		m.report(3)
		Expect(lines()).To(HaveLen(2))
	})
})
