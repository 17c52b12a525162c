package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
)

var _ = Describe("the loss of a failure domain's engines beside a plain upstream that goes on", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// Guards against the loss of a part of a plain service's room for as long as the losses of engines in the domain are being noticed.
	It("does not keep calls from the upstream once it has answered after the first loss", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		for _, id := range []string{"0", "1", "2", "plain"} {
			d.Put(entry(id, 1), 0, start)
		}
		plain := func() fleet.Upstream { u, _ := d.Get("plain"); return u }
		d.RecordAnswer(plain(), 1, at(900))
		d.MarkLost("0", 1, at(1000))
		d.MarkLost("1", 1, at(1010))
		Expect(d.SuspectedByDomain(plain(), at(1020))).To(BeTrue())
		d.RecordAnswer(plain(), 2, at(1020))
		Expect(d.Outlived(plain())).To(BeFalse(), "the answer may have been sent before the loss")
		d.RecordAnswer(plain(), 3, at(1100))
		d.MarkSuspected(ids.VM("2"), 1, at(1400))
		Expect(d.IsSuspected(plain(), at(1420))).To(BeTrue(), "a further loss has been noticed")
		Expect(d.Outlived(plain())).To(BeTrue())
		Expect(d.SuspectedByDomain(plain(), at(1420))).To(BeTrue())
		d.MarkLost("plain", 1, at(1500))
		Expect(d.SuspectedByDomain(plain(), at(1520))).To(BeFalse(), "it is lost itself")
	})
	// Guards against a question for each call.
	It("has the upstream asked a few times a second at most", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("plain", 1), 0, start)
		asked := 0
		for ms := range 1000 {
			if d.ClaimCheck("plain", at(ms)) {
				asked++
			}
		}
		Expect(asked).To(Equal(4))
	})
})
