package mirror_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

// history is a store's past: changes of a few keys at rising revisions.
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

// content is what a replica holds, read as a router that knows nothing would.
func content(r *mirror.Replica) map[string]byte { return state(r.ChangesSince(0)) }

var _ = Describe("a replica", func() {
	It("holds the store's state whatever comes twice, late, out of order, or by way of another router", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			past := history(t)
			last := past[len(past)-1].Modified
			a, b := mirror.NewReplica(), mirror.NewReplica()
			cut := rapid.IntRange(0, len(past)).Draw(t, "cut")
			a.Apply(past, last)
			b.Apply(past[:cut], store.Revision(cut))
			for range rapid.IntRange(0, 20).Draw(t, "strays") {
				i := rapid.IntRange(0, len(past)-1).Draw(t, "stray")
				a.Apply(past[i:i+1], 0)
				b.Apply(past[i:i+1], 0)
			}
			b.Apply(a.ChangesSince(b.Revision()), a.Revision())
			Expect(content(a)).To(Equal(state(past)))
			Expect(content(b)).To(Equal(state(past)))
			Expect(b.Revision()).To(Equal(last))
		})
	})
	It("takes a whole listing as the truth for what was known before it, and nothing back that is newer", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			past := history(t)
			listed := rapid.IntRange(0, len(past)).Draw(t, "listed")
			r := mirror.NewReplica()
			r.Apply(past[:rapid.IntRange(0, listed).Draw(t, "known")], 0)
			newer := past[listed:]
			r.Apply(newer, 0)
			var items []store.Item
			for key, value := range state(past[:listed]) {
				items = append(items, store.Item{Key: key, Value: []byte{value}, Modified: store.Revision(value) + 1})
			}
			r.Reset("servers/", items, store.Revision(listed))
			Expect(content(r)).To(Equal(state(past)))
		})
	})
	It("is not complete after changes that follow on what it lacks", func() {
		r := mirror.NewReplica()
		r.Merge([]store.Change{{Item: store.Item{Key: "routers/b", Modified: 9}}}, 8, 9)
		Expect(r.Revision()).To(BeZero(), "it would never ask for the configuration")
		r.Merge([]store.Change{{Item: store.Item{Key: "config", Modified: 3}}}, 0, 9)
		Expect(r.Revision()).To(BeEquivalentTo(9))
	})
	It("tells each change once", func() {
		r := mirror.NewReplica()
		list := []store.Change{{Item: store.Item{Key: "a", Modified: 3}}}
		Expect(r.Apply(list, 3)).To(HaveLen(1))
		Expect(r.Apply(list, 3)).To(BeEmpty())
		Expect(r.Reset("", nil, 4)).To(HaveLen(1))
		Expect(r.Reset("", nil, 5)).To(BeEmpty())
	})
})
