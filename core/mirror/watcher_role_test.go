package mirror_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
)

// newRoles returns the roles of n routers that know of each other; the store answers those for which served is true.
func newRoles(n int, now time.Time, served func(i int) bool) []*mirror.WatcherRole {
	var out []*mirror.WatcherRole
	for i := range n {
		w := mirror.NewWatcherRole(ids.VM(fmt.Sprint(i)))
		for j := range n {
			if j != i && served(j) {
				w.RecordPeer(ids.VM(fmt.Sprint(j)), now)
			}
		}
		out = append(out, w)
	}
	return out
}

func countWatchers(list []*mirror.WatcherRole, now time.Time, counted func(i int) bool) int {
	n := 0
	for i, w := range list {
		if counted(i) && w.IsWatcher(now) {
			n++
		}
	}
	return n
}

func all(int) bool { return true }

var _ = Describe("the watcher role", func() {
	now := time.Unix(1000, 0)
	It("is held by three of thirty routers", func() {
		Expect(countWatchers(newRoles(30, now, all), now, all)).To(Equal(3))
	})
	It("is held by three of four routers", func() {
		Expect(countWatchers(newRoles(4, now, all), now, all)).To(Equal(3))
	})
	It("moves to three other routers when the store refuses some routers", func() {
		served := func(i int) bool { return i%3 != 0 }
		Expect(countWatchers(newRoles(30, now, served), now, served)).To(Equal(3))
	})
	It("is held by every router that receives no reports, within two seconds less the duration of one watch", func() {
		list := newRoles(30, now, all)
		Expect(countWatchers(list, now.Add(1300*time.Millisecond), all)).To(Equal(30))
	})
	It("assigns each router about one watcher that sends it changes", func() {
		list := newRoles(30, now, all)
		for vm := range 30 {
			senders := 0
			for i, w := range list {
				if i != vm && w.SendsChangesTo(ids.VM(fmt.Sprint(vm)), now) {
					senders++
				}
			}
			Expect(senders).To(BeNumerically("~", 1, 1), "router %d", vm)
		}
	})
	It("distinguishes an outage of the store from a store that refuses this router", func() {
		w := mirror.NewWatcherRole("a")
		Expect(w.StoreReachable(now)).To(BeFalse())
		w.RecordPeer("b", now)
		Expect(w.StoreReachable(now.Add(time.Second))).To(BeTrue())
		Expect(w.StoreReachable(now.Add(2 * time.Second))).To(BeFalse())
	})
})
