package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

var _ = Describe("a part under several models", func() {
	const models = 7
	model := func(n int) string { return fmt.Sprint("m-", n%models) }
	sound := func(n int) []quarantine.Part { return quarantine.Parts(model(n), []string{"shared", "own"}) }
	crashing := func(n int) []quarantine.Part { return quarantine.Parts(model(n), []string{"shared", "crash", "own"}) }
	engines := 0
	crash := func(q *quarantine.Quarantine, n int, now time.Time) {
		engines++
		q.RecordCrash(quarantine.Crash{Parts: crashing(n), Upstream: ids.VM(fmt.Sprint("i-", engines)), At: now})
	}
	// Guards against a part that crashes engines whatever the model is and is learned for each model anew.
	It("is quarantined under all of them after three crashes under different ones, at every router", func() {
		q, far, now := quarantine.New("r1"), quarantine.New("r2"), start
		for n := range 3 {
			q.RecordSound(sound(n), now)
			now = now.Add(2 * time.Second)
			Expect(q.Check("a", crashing(n), now).Allowed).To(BeTrue())
			crash(q, n, now)
		}
		for n := range models {
			q.RecordSound(sound(n), now.Add(time.Second))
		}
		now = now.Add(2 * time.Second)
		far.Merge("r1", q.Report(now), now)
		stored := quarantine.New("r3")
		stored.MergeStored(q.Snapshot(now), now)
		for _, router := range []*quarantine.Quarantine{q, far, stored} {
			for n := range models {
				Expect(router.Check("a", crashing(n), now).Allowed).To(BeFalse())
				Expect(router.Check("a", sound(n), now).Allowed).To(BeTrue())
			}
		}
	})
	// Guards against a part that is refused under models under which it is sound.
	It("is quarantined under one only if it is sound under the others", func() {
		q, now := quarantine.New("r1"), start
		for range 3 {
			now = now.Add(2 * time.Second)
			q.RecordSound(sound(0), now)
			crash(q, 0, now.Add(time.Second))
			for n := 1; n < models; n++ {
				q.RecordSound(crashing(n), now.Add(time.Second+time.Duration(n)*time.Millisecond))
			}
			q.RecordSound(sound(0), now.Add(1500*time.Millisecond))
		}
		now = now.Add(2 * time.Second)
		crash(q, 0, now)
		Expect(q.Check("a", crashing(0), now).Allowed).To(BeFalse())
		for n := 1; n < models; n++ {
			Expect(q.Check("a", crashing(n), now).Allowed).To(BeTrue())
		}
	})
})
