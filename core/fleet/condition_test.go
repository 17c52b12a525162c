package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
)

var _ = Describe("the condition of an upstream", func() {
	// Guards against a state that operators read and that requests do not see.
	It("names the reason for which requests avoid the upstream, and its age", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		for _, id := range []string{"0", "1", "2", "3"} {
			d.Put(entry(id, 1), 0, start)
		}
		now := start.Add(time.Second)
		state := func(id string, at time.Time) fleet.Condition {
			for _, u := range d.All(entry(id, 1).Service) {
				if u.ID == entry(id, 1).ID {
					return d.Condition(u, at)
				}
			}
			return fleet.Condition{}
		}
		Expect(state("0", now)).To(Equal(fleet.Condition{State: fleet.Available}))
		d.MarkLost("0", 1, now)
		d.MarkSuspected("1", 1, now)
		later := now.Add(300 * time.Millisecond)
		Expect(state("0", later).State).To(Equal(fleet.Lost))
		Expect(state("0", later).Age).To(Equal(300 * time.Millisecond))
		Expect(state("1", later)).To(Equal(fleet.Condition{
			State: fleet.Suspected, Reason: "another router found it unreachable", Age: 300 * time.Millisecond,
		}))
		Expect(state("2", later)).To(Equal(fleet.Condition{
			State: fleet.Suspected, Reason: "others of its failure domain were lost", Age: 300 * time.Millisecond,
		}))
		leaving := entry("3", 1)
		leaving.Draining = true
		d.Put(leaving, 0, now)
		Expect(state("3", later).State).To(Equal(fleet.Draining))
	})
})
