package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
)

var start = time.Unix(1000, 0)

// sent is when a request that was answered at start was sent.
const sent = boottime.Instant(time.Minute)

func entry(id string, started int64) fleet.Entry {
	return fleet.Entry{ID: ids.VM(id), Service: "lug-pool", Address: "10.0.0." + id + ":1", Domain: "teesta", Slots: 64, Started: started}
}

func usable(d *fleet.Directory) []ids.VM {
	var out []ids.VM
	for _, u := range d.Usable("lug-pool") {
		out = append(out, u.ID)
	}
	return out
}

// withStore records that the store is reachable.
func withStore(d *fleet.Directory) *fleet.Directory {
	d.SetStoreReachable(true, start.Add(-time.Hour), start.Add(-time.Hour))
	return d
}

var _ = Describe("a directory of upstreams", func() {
	It("does not offer draining, removed or lost upstreams, and offers a lost one again after its next start", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		for i := range 4 {
			d.Put(entry(fmt.Sprint(i), 1), 0, start)
		}
		draining := entry("0", 1)
		draining.Draining = true
		d.Put(draining, 0, start)
		d.Remove("1", start)
		d.MarkLost("2", 1, start)
		Expect(usable(d)).To(Equal([]ids.VM{"3"}))
		d.Put(entry("2", 1), 0, start)
		Expect(usable(d)).To(Equal([]ids.VM{"3"}), "the same start stays unavailable")
		d.Put(entry("2", 2), 0, start)
		Expect(usable(d)).To(Equal([]ids.VM{"2", "3"}))
		d.MarkLost("2", 1, start)
		Expect(usable(d)).To(Equal([]ids.VM{"2", "3"}), "a report about an earlier start is ignored")
	})
	It("deletes an upstream when another one registers at its address", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		next := entry("9", 2)
		next.Address = entry("0", 1).Address
		d.Put(next, 0, start)
		Expect(usable(d)).To(Equal([]ids.VM{"9"}))
	})
	It("keeps upstreams whose entries expire during a store outage until two seconds after its recovery", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		d.Put(entry("1", 1), 0, start)
		d.SetStoreReachable(false, start, start)
		d.Remove("0", start.Add(time.Second))
		d.Remove("1", start.Add(time.Second))
		d.SetStoreReachable(true, start.Add(5*time.Second), start.Add(5*time.Second))
		Expect(usable(d)).To(HaveLen(2))
		d.Put(entry("0", 1), 0, start)
		Expect(d.Expire(start.Add(6 * time.Second))).To(BeEmpty())
		Expect(d.Expire(start.Add(7100 * time.Millisecond))).To(Equal([]ids.VM{"1"}))
		Expect(usable(d)).To(Equal([]ids.VM{"0"}))
	})
	It("deletes a removed entry at once after the router's own start, which is not an outage", func() {
		d := fleet.New(2*time.Second, time.Second)
		d.SetStoreReachable(false, start, start)
		d.SetStoreReachable(true, start.Add(time.Second), start.Add(time.Second))
		d.Put(entry("0", 1), 0, start)
		d.Remove("0", start.Add(1100*time.Millisecond))
		Expect(usable(d)).To(BeEmpty())
	})
	// Guards against requests to an upstream that has left: a moment in which no router had asked the store was taken for an outage.
	It("deletes a removed entry at once after a silence in which no entry of a live upstream can have lapsed", func() {
		d := withStore(fleet.New(2*time.Second, 1800*time.Millisecond))
		d.Put(entry("0", 1), 0, start)
		d.Put(entry("1", 1), 0, start)
		d.SetStoreReachable(false, start, start.Add(1300*time.Millisecond))
		d.Remove("0", start.Add(1400*time.Millisecond))
		d.SetStoreReachable(true, start.Add(1400*time.Millisecond), start.Add(1400*time.Millisecond))
		Expect(d.Expire(start.Add(1500 * time.Millisecond))).To(Equal([]ids.VM{"0"}))
		d.Remove("1", start.Add(1500*time.Millisecond))
		Expect(usable(d)).To(BeEmpty())
	})
	It("deletes a removed entry at once while the store is reachable", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		d.Remove("0", start)
		Expect(usable(d)).To(BeEmpty())
	})
	It("suspects a failure domain for one second after two losses within a second", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		for i := range 3 {
			d.Put(entry(fmt.Sprint(i), 1), 0, start)
		}
		d.MarkLost("0", 1, start)
		Expect(d.DomainSuspected("teesta", start)).To(BeFalse())
		Expect(d.MarkSuspected("1", 1, start.Add(100*time.Millisecond))).To(BeTrue())
		Expect(d.DomainSuspected("teesta", start.Add(100*time.Millisecond))).To(BeTrue())
		Expect(d.DomainSuspected("teesta", start.Add(1200*time.Millisecond))).To(BeFalse())
		Expect(usable(d)).To(Equal([]ids.VM{"1", "2"}), "another router's report alone makes nothing unavailable")
	})
	It("keeps suspecting a lost failure domain during a store outage, except for upstreams that have answered since", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		for i := range 4 {
			d.Put(entry(fmt.Sprint(i), 1), 0, start)
		}
		d.SetStoreReachable(false, start, start)
		d.MarkLost("0", 1, start.Add(time.Second))
		d.MarkLost("1", 1, start.Add(time.Second))
		later := start.Add(6 * time.Second)
		u, _ := d.Get("3")
		d.RecordAnswer(u, 1, start.Add(3*time.Second))
		suspected := func(id ids.VM) bool { u, _ := d.Get(id); return d.IsSuspected(u, later) }
		Expect(suspected("2")).To(BeTrue())
		Expect(suspected("3")).To(BeFalse())
		d.SetStoreReachable(true, later, later)
		Expect(suspected("2")).To(BeFalse())
	})
	It("adopts the new ID of an upstream only while its address cannot belong to another service yet", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		d.Put(entry("1", 1), 0, start)
		adopt := func(id, newID ids.VM, after time.Duration) bool {
			u, _ := d.Get(id)
			x := fleet.Exchange{Sent: sent + boottime.Instant(after), Read: sent + boottime.Instant(after)}
			return d.AdoptID(u, newID, x, start.Add(after), 2*time.Second)
		}
		u, _ := d.Get("0")
		d.RecordAnswer(u, sent, start)
		Expect(adopt("0", "7", 2*time.Second)).To(BeFalse())
		Expect(adopt("1", "8", 0)).To(BeFalse(), "it has not answered")
		d.MarkLost("0", 1, start.Add(100*time.Millisecond))
		Expect(adopt("0", "7", 1500*time.Millisecond)).To(BeTrue())
		Expect(usable(d)).To(Equal([]ids.VM{"1", "7"}))
		registered := entry("7", 3)
		registered.Address = entry("0", 1).Address
		d.Put(registered, 0, start)
		Expect(usable(d)).To(Equal([]ids.VM{"1", "7"}))
	})
	// Guards against requests that another service runs: an answer that was read late does not show that its upstream was alive then.
	It("does not adopt an ID when the last answer was given long before it was read", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		u, _ := d.Get("0")
		d.RecordAnswer(u, sent, start)
		read := sent + boottime.Instant(3*time.Second)
		Expect(d.AdoptID(u, "7", fleet.Exchange{Sent: read, Read: read}, start, 2*time.Second)).To(BeFalse())
	})
	It("counts the time from when the request to the adopted ID was sent", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		at := func(ms int) boottime.Instant { return sent + boottime.Instant(ms)*boottime.Instant(time.Millisecond) }
		u, _ := d.Get("0")
		d.RecordAnswer(u, sent, start)
		Expect(d.AdoptID(u, "7", fleet.Exchange{Sent: at(100), Read: at(1500)}, start, 2*time.Second)).To(BeTrue())
		u, _ = d.Get("7")
		Expect(d.AdoptID(u, "8", fleet.Exchange{Sent: at(2100), Read: at(2100)}, start, 2*time.Second)).To(BeFalse())
	})
	It("does not adopt the next ID of an upstream that another router has renamed and that has not answered here", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		Expect(d.Rename("0", "7", start)).To(BeTrue())
		u, _ := d.Get("7")
		Expect(d.AdoptID(u, "8", fleet.Exchange{Sent: sent, Read: sent}, start, 2*time.Second)).To(BeFalse())
	})
	It("does not adopt an ID for another start or address of the upstream than the one that was asked", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		asked, _ := d.Get("0")
		d.Put(entry("0", 2), 0, start)
		u, _ := d.Get("0")
		d.RecordAnswer(u, sent, start)
		Expect(d.AdoptID(asked, "7", fleet.Exchange{Sent: sent, Read: sent}, start, 2*time.Second)).To(BeFalse())
	})
	It("applies another router's report of the next ID to an upstream that was dropped because its address answers with it", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		d.Put(entry("1", 1), 0, start)
		d.Forget("0", 1, start)
		d.Forget("1", 1, start)
		Expect(d.Rename("0", "7", start.Add(time.Second))).To(BeTrue())
		Expect(usable(d)).To(Equal([]ids.VM{"7"}))
		Expect(d.Rename("1", "8", start.Add(6*time.Second))).To(BeFalse(), "the report is too old")
		d.Put(entry("2", 1), 0, start)
		d.Forget("2", 1, start)
		next := entry("3", 1)
		next.Address = entry("2", 1).Address
		d.Put(next, 0, start)
		Expect(d.Rename("2", "9", start.Add(time.Second))).To(BeFalse(), "another upstream is registered at the address")
	})
	It("names the upstreams that are to be asked for their IDs, and those that do not answer more often", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		for i := range 3 {
			d.Put(entry(fmt.Sprint(i), 1), 0, start)
		}
		d.MarkLeaving("2", 1)
		due := func(ms int) []ids.VM {
			var out []ids.VM
			for _, u := range d.DueForConfirmation(start.Add(time.Duration(ms)*time.Millisecond), func(id ids.VM) bool { return id != "1" }) {
				out = append(out, u.ID)
			}
			return out
		}
		Expect(due(0)).To(Equal([]ids.VM{"0"}))
		Expect(due(150)).To(BeEmpty())
		u, _ := d.Get("0")
		d.RecordSilence(u)
		Expect(due(150)).To(Equal([]ids.VM{"0"}))
		d.RecordAnswer(u, sent, start)
		Expect(due(300)).To(BeEmpty())
		Expect(due(360)).To(Equal([]ids.VM{"0"}))
	})
	It("suspects an upstream that another router has lost until it answers, registers a new start, or three seconds have passed", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		suspected := func(after time.Duration) bool { u, _ := d.Get("0"); return d.IsSuspected(u, start.Add(after)) }
		Expect(d.MarkSuspected("0", 1, start)).To(BeTrue())
		Expect(suspected(2900 * time.Millisecond)).To(BeTrue())
		Expect(suspected(3100 * time.Millisecond)).To(BeFalse())
		Expect(d.MarkSuspected("0", 1, start.Add(4*time.Second))).To(BeTrue())
		u, _ := d.Get("0")
		d.RecordAnswer(u, sent, start.Add(4100*time.Millisecond))
		Expect(suspected(4200 * time.Millisecond)).To(BeFalse())
		Expect(d.MarkSuspected("0", 1, start.Add(8*time.Second))).To(BeTrue())
		d.Put(entry("0", 2), 0, start)
		Expect(suspected(8100 * time.Millisecond)).To(BeFalse())
	})
	It("offers lost upstreams as a last resort, but never draining ones", func() {
		d := withStore(fleet.New(2*time.Second, time.Second))
		d.Put(entry("0", 1), 0, start)
		leaving := entry("1", 1)
		leaving.Draining = true
		d.Put(leaving, 0, start)
		d.MarkLost("0", 1, start)
		Expect(usable(d)).To(Equal([]ids.VM{"0"}))
	})
	It("never offers a draining or removed upstream, for any sequence of updates", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			d := withStore(fleet.New(2*time.Second, time.Second))
			excluded := map[ids.VM]bool{}
			now := start
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					e := entry(id, int64(rapid.IntRange(1, 2).Draw(t, "started")))
					e.Draining = rapid.Bool().Draw(t, "draining")
					d.Put(e, 0, start)
					excluded[e.ID] = e.Draining
				case 1:
					d.Remove(ids.VM(id), now)
					excluded[ids.VM(id)] = true
				case 2:
					d.MarkLost(ids.VM(id), 1, now)
				case 3:
					d.MarkRecovered(ids.VM(id), 1)
				case 4:
					d.MarkSuspected(ids.VM(id), 1, now)
				}
				for _, vm := range usable(d) {
					if excluded[vm] {
						t.Fatalf("%s is offered although it is draining or removed", vm)
					}
				}
			}
		})
	})
})
