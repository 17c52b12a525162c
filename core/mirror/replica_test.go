package mirror_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

// history draws a sequence of changes of a few keys at rising revisions.
func history(t *rapid.T) []store.Change {
	var out []store.Change
	live := map[string]bool{}
	for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
		key := fmt.Sprintf("servers/%d", rapid.IntRange(0, 5).Draw(t, "key"))
		c := store.Change{Item: store.Item{Key: key, Value: []byte{byte(i)}, Modified: store.Revision(i + 1)}}
		if live[key] && rapid.Bool().Draw(t, "removed") {
			c.Removed = true
			c.Value = nil
		}
		live[key] = !c.Removed
		out = append(out, c)
	}
	return out
}

func state(list []store.Change) map[string]byte {
	out := map[string]byte{}
	for _, c := range list {
		if c.Removed {
			delete(out, c.Key)
		} else {
			out[c.Key] = c.Value[0]
		}
	}
	return out
}

// content returns the contents of a replica as a router at revision zero receives them.
func content(r *mirror.Replica) map[string]byte { return state(r.ChangesSince(0)) }

var _ = Describe("a replica", func() {
	It("converges to the store's state when changes arrive repeatedly, late, out of order or through another router", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			changes := history(t)
			last := changes[len(changes)-1].Modified
			a, b := mirror.NewReplica(), mirror.NewReplica()
			cut := rapid.IntRange(0, len(changes)).Draw(t, "cut")
			a.Apply(changes, last)
			b.Apply(changes[:cut], store.Revision(cut))
			for range rapid.IntRange(0, 20).Draw(t, "strays") {
				i := rapid.IntRange(0, len(changes)-1).Draw(t, "stray")
				a.Apply(changes[i:i+1], 0)
				b.Apply(changes[i:i+1], 0)
			}
			b.Apply(a.ChangesSince(b.Revision()), a.Revision())
			Expect(content(a)).To(Equal(state(changes)))
			Expect(content(b)).To(Equal(state(changes)))
			Expect(b.Revision()).To(Equal(last))
		})
	})
	It("replaces older changes by a full listing, and keeps changes that are newer than it", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			changes := history(t)
			listed := rapid.IntRange(0, len(changes)).Draw(t, "listed")
			r := mirror.NewReplica()
			r.Apply(changes[:rapid.IntRange(0, listed).Draw(t, "known")], 0)
			newer := changes[listed:]
			r.Apply(newer, 0)
			var items []store.Item
			for key, value := range state(changes[:listed]) {
				items = append(items, store.Item{Key: key, Value: []byte{value}, Modified: store.Revision(value) + 1})
			}
			r.Reset("servers/", items, store.Revision(listed))
			Expect(content(r)).To(Equal(state(changes)))
		})
	})
	It("is not complete after changes that follow a gap", func() {
		r := mirror.NewReplica()
		r.Merge([]store.Change{{Item: store.Item{Key: "routers/b", Modified: 9}}}, 8, 9)
		Expect(r.Revision()).To(BeZero(), "it would never request the configuration")
		config := store.Change{Item: store.Item{Key: "config", Modified: 3}}
		r.Merge([]store.Change{config}, 0, 9)
		Expect(r.Revision()).To(BeZero(), "the other replica does not have routers/b, so that it may have been removed")
		r.Merge([]store.Change{config, {Item: store.Item{Key: "routers/b", Modified: 9}}}, 0, 9)
		Expect(r.Revision()).To(BeEquivalentTo(9))
	})
	It("returns each change once", func() {
		r := mirror.NewReplica()
		list := []store.Change{{Item: store.Item{Key: "a", Modified: 3}}}
		Expect(r.Apply(list, 3)).To(HaveLen(1))
		Expect(r.Apply(list, 3)).To(BeEmpty())
		Expect(r.Reset("", nil, 4)).To(HaveLen(1))
		Expect(r.Reset("", nil, 5)).To(BeEmpty())
	})
})

var _ = Describe("a delta of a replica", func() {
	It("leaves out large values, and the replica that applies it is complete without them", func() {
		a, b := mirror.NewReplica(), mirror.NewReplica()
		large := store.Item{Key: "config", Value: make([]byte, mirror.MaxInlineBytes+1), Modified: 7}
		a.Apply([]store.Change{{Item: large}, {Item: store.Item{Key: "servers/a", Value: []byte{1}, Modified: 8}}}, 8)
		d := a.Delta(0, 1<<20)
		Expect(b.Merge(d.List, d.Since, d.UpTo)).To(HaveLen(1), "the large value is not known yet")
		Expect(b.Revision()).To(BeEquivalentTo(8))
		revision, size, omitted := b.Omitted("config")
		Expect(omitted).To(BeTrue())
		Expect(revision).To(BeEquivalentTo(7))
		Expect(size).To(Equal(len(large.Value)))
		Expect(b.Resolve(large)).To(HaveLen(1))
		Expect(b.Resolve(large)).To(BeEmpty())
		_, _, omitted = b.Omitted("config")
		Expect(omitted).To(BeFalse())
	})
	It("converges in pages of any size, whatever is written in between", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			changes := history(t)
			cut := rapid.IntRange(0, len(changes)).Draw(t, "cut")
			pageBytes := rapid.IntRange(0, 200).Draw(t, "page")
			a, b := mirror.NewReplica(), mirror.NewReplica()
			a.Apply(changes[:cut], store.Revision(cut))
			for page := 0; b.Revision() < store.Revision(len(changes)); page++ {
				if page > len(changes)+1 {
					t.Fatalf("no progress at revision %d of %d", b.Revision(), len(changes))
				}
				d := a.Delta(b.Revision(), pageBytes)
				b.Merge(d.List, d.Since, d.UpTo)
				if !d.More {
					a.Apply(changes, store.Revision(len(changes)))
				}
			}
			Expect(content(b)).To(Equal(state(changes)))
		})
	})
	It("is a snapshot once the removals that the receiver lacks may have been dropped", func() {
		r := mirror.NewReplica()
		for i := range 5000 {
			r.Apply([]store.Change{{Item: store.Item{Key: fmt.Sprint("servers/", i), Modified: store.Revision(i + 1)}, Removed: true}}, store.Revision(i+1))
		}
		Expect(r.Delta(1, 1<<20).Snapshot).To(BeTrue())
		Expect(r.Delta(4999, 1<<20).Snapshot).To(BeFalse())
		Expect(r.Delta(0, 1<<20).Snapshot).To(BeFalse(), "an empty replica lacks no removals")
	})
})
