package mirror_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

func revision(era store.Era, count uint64) store.Revision {
	GinkgoHelper()
	r, err := store.NewRevision(era, count)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func written(key, value string, at store.Revision) store.Change {
	return store.Change{Item: store.Item{Key: key, Value: []byte(value), Modified: at}}
}

// list applies a listing of all keys.
func list(r *mirror.Replica, at store.Revision, changes ...store.Change) {
	var items []store.Item
	for _, c := range changes {
		items = append(items, c.Item)
	}
	r.Reset("", items, at)
	r.MarkComplete(at)
}

// Guards against changes that are dropped, or kept, because their revisions are compared across a return of the store.
var _ = Describe("a replica of a store that has returned from an older copy", func() {
	It("takes changes whose counts are below those of the era before, and drops keys that are gone", func() {
		r := mirror.NewReplica()
		list(r, revision(1, 50), written("config", "v3", revision(1, 50)), written("servers/late", "", revision(1, 49)))
		list(r, revision(2, 40), written("config", "v2", revision(2, 30)))
		Expect(r.Revision()).To(Equal(revision(2, 40)))
		applied := r.Apply([]store.Change{written("config", "v4", revision(2, 41))}, revision(2, 41))
		Expect(applied).To(HaveLen(1))
		Expect(r.ChangesSince(revision(2, 0))).To(ContainElement(HaveField("Removed", true)))
	})
	It("ignores changes of the era before that arrive late", func() {
		r := mirror.NewReplica()
		list(r, revision(2, 40), written("config", "v2", revision(2, 30)))
		late := []store.Change{written("servers/ghost", "", revision(1, 60))}
		Expect(r.Merge(late, revision(1, 50), revision(1, 60))).To(BeEmpty())
		Expect(r.Revision()).To(Equal(revision(2, 40)))
	})
	It("gives a router of the era before a snapshot, since that may have keys that nobody else knows", func() {
		r := mirror.NewReplica()
		list(r, revision(2, 40), written("config", "v2", revision(2, 30)))
		Expect(r.Delta(revision(1, 60), 1<<20).Snapshot).To(BeTrue())
		Expect(r.Delta(revision(2, 30), 1<<20).Snapshot).To(BeTrue(), "what was removed before the listing is not known either")
		Expect(r.Delta(revision(2, 40), 1<<20).Snapshot).To(BeFalse())
	})
	It("agrees with the store after any returns, changes and listings, in any order of delivery", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			era, count := store.Era(1), uint64(10)
			contents := map[string]string{}
			r := mirror.NewReplica()
			var late []store.Change
			at := func() store.Revision { v, _ := store.NewRevision(era, count); return v }
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					count++
					contents[key] = at().String()
					c := written(key, at().String(), at())
					late = append(late, c)
					if r.Revision().Era() == era && r.Revision().Count() == count-1 {
						r.Apply([]store.Change{c}, at())
					}
				case 1:
					era++
					count -= uint64(rapid.IntRange(0, int(count-1)).Draw(t, "back"))
					delete(contents, key)
				case 2:
					for _, c := range late {
						r.Merge([]store.Change{c}, c.Modified, c.Modified)
					}
				case 3:
					var items []store.Change
					for k, v := range contents {
						items = append(items, written(k, v, at()))
					}
					list(r, at(), items...)
				}
			}
			var items []store.Change
			for k, v := range contents {
				items = append(items, written(k, v, at()))
			}
			list(r, at(), items...)
			got := map[string]string{}
			for _, c := range r.ChangesSince(0) {
				if !c.Removed {
					got[c.Key] = string(c.Value)
				}
			}
			if len(got) != len(contents) {
				t.Fatalf("%v instead of %v", got, contents)
			}
		})
	})
})

var _ = Describe("a follower whose store has returned from an older copy", func() {
	It("lists again if the store answers a watch from a revision that it has reached again", func() {
		var isWatcher atomic.Bool
		isWatcher.Store(true)
		target := &fakeTarget{}
		s := &fakeStore{list: emptyPage, watch: func(ctx context.Context, wait time.Duration) (store.Changes, error) {
			return store.Changes{List: []store.Change{written("servers/a", "", revision(1, 9))}, Revision: revision(1, 9)}, nil
		}}
		follow(s, target, &isWatcher)
		Eventually(s.lists.Load, 2*time.Second).Should(BeNumerically(">=", 6))
		Expect(target.applied.Load()).To(BeZero())
	})
	It("takes no listing for whole whose pages are of two eras", func() {
		var isWatcher atomic.Bool
		var pages atomic.Uint64
		s := &fakeStore{watch: unchanged}
		s.list = func() (store.Page, error) {
			n := pages.Add(1)
			at, err := store.NewRevision(store.Era(min(n, 2)), 5)
			return store.Page{Items: []store.Item{{Key: "servers/a", Modified: at}}, More: n%2 == 1, Revision: at}, err
		}
		follow(s, &fakeTarget{}, &isWatcher)
		Eventually(s.lists.Load, 2*time.Second).Should(BeNumerically(">=", 8))
	})
})
