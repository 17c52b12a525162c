package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
)

// Guards against upstreams that have left, whose entries an older copy of the store shows again, and against the loss of those that it
// does not show.
var _ = Describe("a directory whose store has returned from an older copy", func() {
	numbered := func(seq int64, draining bool) fleet.Entry {
		e := entry("0", 1)
		e.Seq, e.Draining = seq, draining
		return e
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("keeps an upstream draining that the copy shows as ready", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		Expect(d.Put(numbered(5, true), 1, start)).To(BeTrue())
		Expect(d.Put(numbered(4, false), 2, at(100))).To(BeFalse())
		Expect(usable(d)).To(BeEmpty())
	})
	It("does not offer an upstream that has left until its entry has stood longer than that of one that is gone, or is written anew", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(numbered(5, false), 1, start)
		d.Remove("0", at(100))
		Expect(d.Put(numbered(5, false), 2, at(1000))).To(BeFalse())
		Expect(d.AdmitReturned(at(4000))).To(BeEmpty())
		Expect(usable(d)).To(BeEmpty())
		Expect(d.AdmitReturned(at(6100))).To(HaveLen(1))
		Expect(usable(d)).To(HaveLen(1))

		d.Remove("0", at(7000))
		Expect(d.Put(numbered(5, false), 3, at(7500))).To(BeFalse())
		Expect(d.Put(numbered(6, false), 3, at(7600))).To(BeTrue())
		Expect(usable(d)).To(HaveLen(1))
	})
	It("does not offer an upstream that was leaving, however long its entry stands", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(numbered(5, false), 1, start)
		Expect(d.MarkLeaving("0", 1)).To(BeTrue())
		d.Remove("0", at(100))
		Expect(d.Put(numbered(5, false), 2, at(1000))).To(BeFalse())
		Expect(d.AdmitReturned(at(6100))).To(HaveLen(1))
		Expect(usable(d)).To(BeEmpty())
	})
	It("does not offer it either once its entry has ended there", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(numbered(5, false), 1, start)
		d.Remove("0", at(100))
		d.Put(numbered(5, false), 2, at(1000))
		d.Remove("0", at(4500))
		Expect(d.AdmitReturned(at(7000))).To(BeEmpty())
		Expect(usable(d)).To(BeEmpty())
	})
	It("keeps an upstream that the copy does not show until it has had time to write its entry again", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(numbered(1, false), 1, start)
		d.StoreRestored(at(100))
		d.Remove("0", at(100))
		Expect(usable(d)).To(HaveLen(1))
		Expect(d.Put(numbered(2, false), 2, at(900))).To(BeTrue())
		Expect(d.Expire(at(3000))).To(BeEmpty())
		Expect(usable(d)).To(HaveLen(1))
	})
})
