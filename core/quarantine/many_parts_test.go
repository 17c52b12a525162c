package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

// Guards against a part that crashes engines and is never quarantined, since it comes late in a long prompt.
var _ = Describe("a prompt of many parts", func() {
	DescribeTable("is refused for the part that crashes engines, wherever it stands", func(at int) {
		const n = 500
		names := make([]string, 0, n+1)
		for i := range n + 1 {
			names = append(names, fmt.Sprintf("5c1e%04x", i))
		}
		sound := quarantine.Parts("m", names)
		names[at] = "deadbeef"
		crashing := quarantine.Parts("m", names)
		q, now := quarantine.New("r1"), start
		for i := range 3 {
			q.RecordSound(sound, now)
			now = now.Add(time.Second)
			Expect(q.Check("a", crashing, now).Allowed).To(BeTrue())
			q.RecordCrash(quarantine.Crash{Parts: crashing, Upstream: ids.VM(fmt.Sprint("i-", i)), At: now})
		}
		q.RecordSound(sound, now.Add(time.Second))
		now = now.Add(2 * time.Second)
		Expect(q.Check("a", crashing, now).Allowed).To(BeFalse())
		Expect(q.Check("a", sound, now).Allowed).To(BeTrue())
		Expect(q.Report(now).Crashes[0].Parts).To(HaveLen(32))
	}, Entry("first", 0), Entry("the thirty-third", 32), Entry("the last that others may share", 499))
})
