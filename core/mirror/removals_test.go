package mirror_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

// Guards against routers that keep a removed key for good, because another one has listed the store after the removal and serves its
// changes as if it knew what was removed before.
var _ = Describe("a replica that has listed the store", func() {
	upstream := func(name string, at store.Revision) store.Change {
		return store.Change{Item: store.Item{Key: "upstreams/" + name, Modified: at}}
	}
	listed := func(at store.Revision) *mirror.Replica {
		r := mirror.NewReplica()
		r.Reset("upstreams/", []store.Item{upstream("kept", 1).Item}, at)
		r.MarkComplete(at)
		return r
	}
	It("gives a router that is behind the listing a snapshot", func() {
		r := listed(8)
		Expect(r.Delta(7, 1<<20).Snapshot).To(BeTrue())
		Expect(r.Delta(8, 1<<20).Snapshot).To(BeFalse())
		known := mirror.NewReplica()
		known.Apply([]store.Change{upstream("kept", 1), upstream("gone", 2)}, 2)
		d := r.Delta(2, 1<<20)
		Expect(known.RemoveMissing(map[string]bool{d.List[0].Key: true}, d.UpTo)).To(HaveLen(1))
		Expect(known.Delta(5, 1<<20).Snapshot).To(BeTrue(), "what was removed before the snapshot is not known here either")
	})
	It("gives it the newer changes at once, which do not complete it", func() {
		r := listed(8)
		r.Apply([]store.Change{upstream("new", 9)}, 9)
		known := mirror.NewReplica()
		known.Apply([]store.Change{upstream("kept", 1), upstream("gone", 2)}, 2)
		d := r.Partial(2, 1<<20)
		Expect(known.Merge(d.List, d.Since, d.UpTo)).To(HaveLen(1))
		Expect(known.Revision()).To(BeEquivalentTo(2))
	})
	It("passes on what it does not know to a router that starts from its changes", func() {
		r, next := listed(8), mirror.NewReplica()
		d := r.Delta(0, 1<<20)
		next.Merge(d.List, d.Since, d.UpTo)
		Expect(next.Revision()).To(BeEquivalentTo(8))
		Expect(next.Delta(5, 1<<20).Snapshot).To(BeTrue())
	})
	It("does not complete a router that has begun to list before the removal", func() {
		r, next := listed(8), mirror.NewReplica()
		next.Reset("upstreams/", []store.Item{upstream("kept", 1).Item, upstream("gone", 2).Item}, 5)
		d := r.Delta(0, 1<<20)
		next.Merge(d.List, d.Since, d.UpTo)
		Expect(next.Revision()).To(BeZero())
	})
	It("does not take a key that was removed before the listing from a late change", func() {
		r := listed(8)
		Expect(r.Merge([]store.Change{upstream("gone", 5)}, 4, 5)).To(BeEmpty())
		Expect(r.Apply([]store.Change{upstream("gone", 6)}, 6)).To(BeEmpty())
	})
	It("returns the items of the listing in the order in which they were written", func() {
		r := mirror.NewReplica()
		changes := r.Reset("upstreams/", []store.Item{upstream("a", 7).Item, upstream("b", 3).Item}, 8)
		Expect(changes[0].Key).To(Equal("upstreams/b"), "of two upstreams at one address the later one counts")
	})
})

// site is a store and replicas that follow it or one another, as routers do.
type site struct {
	t        *rapid.T
	revision store.Revision
	history  []store.Change
	replicas []*mirror.Replica
	// listing holds one more than the revision of each replica's unfinished listing, or zero.
	listing []store.Revision
	late    []delivery
	steps   []string
}

// delivery is a message that is still under way.
type delivery struct {
	to    int
	apply func(r *mirror.Replica)
}

func (s *site) live(at store.Revision) map[string]store.Revision {
	out := map[string]store.Revision{}
	for _, c := range s.history {
		switch {
		case c.Modified > at:
		case c.Removed:
			delete(out, c.Key)
		default:
			out[c.Key] = c.Modified
		}
	}
	return out
}

func (s *site) list(i int, prefix string) {
	var items []store.Item
	for key, at := range s.live(s.revision) {
		if key[:2] == prefix {
			items = append(items, store.Item{Key: key, Modified: at})
		}
	}
	s.replicas[i].Reset(prefix, items, s.revision)
}

// check compares what a replica has of the changes up to its revision with the store.
func (s *site) check() {
	for i, r := range s.replicas {
		has := map[string]store.Revision{}
		for _, c := range r.ChangesSince(0) {
			if !c.Removed {
				has[c.Key] = c.Modified
			}
		}
		want := s.live(r.Revision())
		for key, at := range want {
			if _, known := has[key]; !known && !s.changedAfter(key, r.Revision()) {
				s.t.Fatalf("replica %d at revision %d lacks %s of %d after %q", i, r.Revision(), key, at, s.steps)
			}
		}
		for key, at := range has {
			if at <= r.Revision() && want[key] != at {
				s.t.Fatalf("replica %d at revision %d has %s of %d; the store had %d then; after %q", i, r.Revision(), key, at, want[key], s.steps)
			}
		}
	}
}

func (s *site) changedAfter(key string, at store.Revision) bool {
	for _, c := range s.history {
		if c.Key == key && c.Modified > at {
			return true
		}
	}
	return false
}

var _ = Describe("replicas that list, watch, push, pull and start anew", func() {
	It("have what the store had at the revision up to which they count as complete, whatever is late", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := &site{t: t}
			for range 3 {
				s.replicas = append(s.replicas, mirror.NewReplica())
				s.listing = append(s.listing, 0)
			}
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				s.step(rapid.IntRange(0, 8).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "replica"), rapid.IntRange(0, 2).Draw(t, "other"))
				s.check()
			}
		})
	})
})

// step makes one step of replica i, which may concern replica j.
func (s *site) step(kind, i, j int) {
	r, other := s.replicas[i], s.replicas[j]
	s.steps = append(s.steps, fmt.Sprintf("%d of %d with %d at %d [%d %d %d]", kind, i, j, s.revision, s.replicas[0].Revision(), s.replicas[1].Revision(), s.replicas[2].Revision()))
	switch kind {
	case 0, 1:
		s.revision++
		key := fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"a/", "b/"}).Draw(s.t, "prefix"), rapid.IntRange(0, 1).Draw(s.t, "key"))
		_, exists := s.live(s.revision)[key]
		s.history = append(s.history, store.Change{Item: store.Item{Key: key, Modified: s.revision}, Removed: exists && kind == 1})
	case 2:
		s.replicas[i], s.listing[i] = mirror.NewReplica(), 0
		s.step(3, i, j)
	case 3:
		if s.listing[i] == 0 {
			s.listing[i] = s.revision + 1
			s.list(i, "a/")
			return
		}
		s.list(i, "b/")
		r.MarkComplete(s.listing[i] - 1)
		s.listing[i] = 0
	case 4:
		if since := r.Revision(); since > 0 {
			s.deliver(i, s.changes(since), since, s.revision, (*mirror.Replica).Apply)
		}
	case 5:
		d := other.Delta(r.Revision(), 1<<20)
		if !d.Snapshot {
			s.late = append(s.late, delivery{i, func(r *mirror.Replica) { r.Merge(d.List, d.Since, d.UpTo) }})
			return
		}
		p := other.Partial(r.Revision(), 1<<20)
		s.late = append(s.late, delivery{i, func(r *mirror.Replica) { r.Merge(p.List, p.Since, p.UpTo) }})
	case 6:
		if d := other.Snapshot(0, 1<<20); d.UpTo > r.Revision() {
			keys := map[string]bool{}
			for _, c := range d.List {
				keys[c.Key] = !c.Removed
			}
			r.Apply(d.List, r.Revision())
			r.RemoveMissing(keys, d.UpTo)
		}
	default:
		if len(s.late) > 0 {
			n := rapid.IntRange(0, len(s.late)-1).Draw(s.t, "late")
			s.late[n].apply(s.replicas[s.late[n].to])
			s.late = append(s.late[:n], s.late[n+1:]...)
		}
	}
}

// changes returns the last change of each key after a revision.
func (s *site) changes(since store.Revision) []store.Change {
	last := map[string]store.Change{}
	for _, c := range s.history {
		if c.Modified > since {
			last[c.Key] = c
		}
	}
	var out []store.Change
	for _, c := range last {
		out = append(out, c)
	}
	return out
}

// deliver applies the reply to a watch now or later, unless its router starts anew before.
func (s *site) deliver(i int, list []store.Change, _, upTo store.Revision, apply func(*mirror.Replica, []store.Change, store.Revision) []store.Change) {
	asked := s.replicas[i]
	s.late = append(s.late, delivery{i, func(r *mirror.Replica) {
		if r == asked {
			apply(r, list, upTo)
		}
	}})
}
