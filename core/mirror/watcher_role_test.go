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
		w := mirror.NewWatcherRole(ids.VM(fmt.Sprint(i)), false)
		if served(i) {
			w.RecordSelf(now)
		}
		for j := range n {
			if j != i && served(j) {
				w.RecordPeer(mirror.StoreContact{Router: ids.VM(fmt.Sprint(j)), At: now})
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

// passOn simulates routers that send updates to each other in turn, one to each other router an interval, while the store
// answers three of them all the time. It returns the number of routers that do not watch the store themselves, or are one of
// the three, at the end.
func passOn(n int, interval, duration time.Duration) int {
	start := time.Unix(1000, 0)
	list := newRoles(n, start, all)
	watchers := map[int]bool{}
	for i, w := range list {
		if w.IsWatcher(start) {
			watchers[i] = true
		}
	}
	step := interval / time.Duration(n-1)
	now := start
	for round := 1; now.Sub(start) < duration; round++ {
		now = now.Add(step)
		for i := range watchers {
			list[i].RecordSelf(now)
		}
		for i, w := range list {
			for _, c := range w.Contacts(now) {
				// Each router begins at another place of the order, as processes that start independently do.
				list[(i+round*(1+i%7))%n].RecordPeer(c)
			}
		}
	}
	return n - countWatchers(list, now, func(i int) bool { return !watchers[i] })
}

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
				if i != vm && w.SendsChangesTo(now)(ids.VM(fmt.Sprint(vm))) {
					senders++
				}
			}
			Expect(senders).To(BeNumerically("~", 1, 1), "router %d", vm)
		}
	})
	It("is held by narrow routers only if too few wide ones reach the store", func() {
		roles := func(served func(i int) bool) []*mirror.WatcherRole {
			var out []*mirror.WatcherRole
			for i := range 33 {
				w := mirror.NewWatcherRole(ids.VM(fmt.Sprint(i)), i >= 15)
				for j := range 33 {
					if served(j) {
						w.RecordPeer(mirror.StoreContact{Router: ids.VM(fmt.Sprint(j)), At: now, Narrow: j >= 15})
					}
				}
				out = append(out, w)
			}
			return out
		}
		narrow := func(i int) bool { return i >= 15 }
		Expect(countWatchers(roles(all), now, narrow)).To(BeZero())
		twoWide := func(i int) bool { return i >= 13 }
		Expect(countWatchers(roles(twoWide), now, twoWide)).To(Equal(3))
		Expect(countWatchers(roles(twoWide), now, narrow)).To(Equal(1))
	})
	It("is known to all of 300 routers within its time to live, although each pair exchanges an update only every 1.9 seconds", func() {
		known := passOn(300, 1900*time.Millisecond, 3*time.Second)
		Expect(known).To(Equal(300))
	})
	It("distinguishes an outage of the store from a store that refuses this router", func() {
		w := mirror.NewWatcherRole("a", false)
		Expect(w.StoreReachable(now)).To(BeFalse())
		w.RecordPeer(mirror.StoreContact{Router: "b", At: now})
		Expect(w.StoreReachable(now.Add(time.Second))).To(BeTrue())
		Expect(w.StoreReachable(now.Add(2 * time.Second))).To(BeFalse())
	})
})
