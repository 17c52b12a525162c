package pace_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
)

var _ = Describe("the window of an upstream at several routers", func() {
	// Guards against routers that keep different windows after lost, repeated and reordered updates.
	It("is the same everywhere once each has had the last report of each other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const n = 4
			start := pace.Start{ID: "u", Started: 1}
			now := time.Unix(1000, 0)
			var list []*pace.Tracker
			for range n {
				tracker := pace.New()
				tracker.Begin(start, pace.Registered, now)
				list = append(list, tracker)
			}
			type update struct {
				from    ids.VM
				reports []pace.Report
			}
			var sent []update
			router := rapid.IntRange(0, n-1)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
				i := router.Draw(t, "router")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					list[i].RecordTrouble(start, pace.Refused, now)
				case 1, 2:
					list[i].RecordAnswer(pace.Answer{Start: start, Ratio: 1}, now)
				case 3:
					sent = append(sent, update{ids.VM(fmt.Sprint(i)), list[i].Reports(now)})
				case 4:
					if len(sent) > 0 {
						u := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "update")]
						if u.from != ids.VM(fmt.Sprint(i)) {
							list[i].Merge(u.from, u.reports, now)
						}
					}
				}
			}
			// Two rounds: a router that learns of a later epoch drops what it has gained in the one before.
			for range 2 {
				for i, from := range list {
					for j, to := range list {
						if i != j {
							to.Merge(ids.VM(fmt.Sprint(i)), from.Reports(now), now)
						}
					}
				}
			}
			sizes := map[string]bool{}
			for _, tracker := range list {
				now = now.Add(time.Minute)
				c, decreased := tracker.RecordTrouble(start, pace.Stalled, now)
				Expect(decreased).To(BeTrue())
				sizes[fmt.Sprintf("%.6f", c.Before)] = true
			}
			Expect(sizes).To(HaveLen(1))
		})
	})
	It("ignores sizes that no window has", func() {
		now := time.Unix(1000, 0)
		start := pace.Start{ID: "u", Started: 1}
		t := pace.New()
		t.Begin(start, pace.Registered, now)
		nan := math.NaN()
		for _, r := range []pace.Report{{Epoch: 1, Base: nan}, {Epoch: 1, Base: 0}, {Epoch: 1, Base: 1e30}, {Epoch: 1, Base: 2, Gained: -1}, {Base: 2, Gained: nan}} {
			r.Start = start
			Expect(t.Merge("other", []pace.Report{r}, now)).To(BeEmpty())
		}
		c, _ := t.RecordTrouble(start, pace.Refused, now)
		Expect(c.Before).To(Equal(2.0))
	})
})
