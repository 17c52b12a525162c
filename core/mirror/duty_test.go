package mirror_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
)

// duties returns n routers that hear of each other; those for which served is false get no answer from the store.
func duties(n int, now time.Time, served func(i int) bool) []*mirror.WatcherRole {
	var out []*mirror.WatcherRole
	for i := range n {
		d := mirror.NewWatcherRole(ids.VM(fmt.Sprint(i)))
		for j := range n {
			if j != i && served(j) {
				d.RecordPeer(ids.VM(fmt.Sprint(j)), now)
			}
		}
		out = append(out, d)
	}
	return out
}

func watching(list []*mirror.WatcherRole, now time.Time, counts func(i int) bool) int {
	n := 0
	for i, d := range list {
		if counts(i) && d.IsWatcher(now) {
			n++
		}
	}
	return n
}

func all(int) bool { return true }

var _ = Describe("the duty to watch the store", func() {
	now := time.Unix(1000, 0)
	It("falls to three of thirty routers", func() {
		Expect(watching(duties(30, now, all), now, all)).To(Equal(3))
	})
	It("falls to all routers of a small fleet but one", func() {
		Expect(watching(duties(4, now, all), now, all)).To(Equal(3))
	})
	It("passes to three others when the store turns some routers away", func() {
		served := func(i int) bool { return i%3 != 0 }
		Expect(watching(duties(30, now, served), now, served)).To(Equal(3))
	})
	It("falls to every router that hears nothing, within two seconds less one watch", func() {
		list := duties(30, now, all)
		Expect(watching(list, now.Add(1300*time.Millisecond), all)).To(Equal(30))
	})
	It("gives each router exactly one that sends it changes", func() {
		list := duties(30, now, all)
		for vm := range 30 {
			servers := 0
			for i, d := range list {
				if i != vm && d.SendsChangesTo(ids.VM(fmt.Sprint(vm)), now) {
					servers++
				}
			}
			Expect(servers).To(BeNumerically("~", 1, 1), "router %d", vm)
		}
	})
	It("tells an outage of the store from a store that turns this router away", func() {
		d := mirror.NewWatcherRole("a")
		Expect(d.StoreReachable(now)).To(BeFalse())
		d.RecordPeer("b", now)
		Expect(d.StoreReachable(now.Add(time.Second))).To(BeTrue())
		Expect(d.StoreReachable(now.Add(2 * time.Second))).To(BeFalse())
	})
})
