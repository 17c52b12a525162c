package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

var _ = Describe("a look at the quarantine", func() {
	// Guards against a look that starts the only trial, so that the request after it is refused.
	It("returns the verdict on a new request and starts no trial", func() {
		q := quarantine.New("r1")
		now := start
		for i := range 3 {
			now = now.Add(2 * time.Second)
			q.RecordCrash(quarantine.Crash{Parts: parts(poison), Upstream: ids.VM(fmt.Sprint("i-", i)), At: now})
		}
		v := q.Peek(parts(poison), now)
		Expect(v.Allowed).To(BeFalse())
		Expect(v).To(Equal(q.Check("a", parts(poison), now)))
		now = now.Add(v.Remaining)
		for range 2 {
			Expect(q.Peek(parts(poison), now).Trial).To(BeTrue())
		}
		Expect(q.Check("a", parts(poison), now).Trial).To(BeTrue())
		Expect(q.Peek(parts(poison), now).Allowed).To(BeFalse(), "another request has the trial")
		Expect(q.Peek(parts(other), now)).To(Equal(quarantine.Verdict{Allowed: true}))
	})
})
