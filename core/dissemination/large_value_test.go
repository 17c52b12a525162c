package dissemination_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

var _ = Describe("a node that lacks the large value", func() {
	It("fetches it in chunks from a router that has it, and never again", func() {
		holder, n := newNode("holder", wideLink), newNode("n", wideLink)
		content := value(5, 200_000)
		for i := range content.Value {
			content.Value[i] = byte(i * i >> 3)
		}
		holder.Apply([]store.Change{content}, 5)
		announce(n, "holder", 5, dissemination.Status{}, start)
		now := start
		chunks := 0
		for {
			f, ok := n.NextFetch(now)
			if !ok {
				break
			}
			Expect(f.From).To(BeEquivalentTo("holder"))
			Expect(f.Timeout).To(BeNumerically("<", 2*time.Second))
			c := holder.ServeFetch(f.ChunkRequest, now).Chunk()
			chunks++
			now = now.Add(5 * time.Millisecond)
			whole, complete := n.FetchDone(f, &c, 5*time.Millisecond, now)
			now = now.Add(20 * time.Millisecond)
			if complete {
				Expect(whole.Data).To(HaveLen(whole.EncodedSize))
				_, again := n.NextFetch(now)
				Expect(again).To(BeFalse(), "it is being decoded")
				Expect(n.Resolve(content.Item)).To(HaveLen(1))
			}
		}
		Expect(chunks).To(BeNumerically("<=", 7))
		Expect(n.Status().Holds).To(BeEquivalentTo(5))
		Expect(n.LacksValue()).To(BeFalse())
	})
	It("prefers a router with a wide link, and one of its own failure domain", func() {
		n := newNode("n", wideLink)
		announce(n, "narrow", 5, dissemination.Status{Domain: "north", Narrow: true}, start)
		announce(n, "far", 5, dissemination.Status{Domain: "south"}, start)
		announce(n, "near", 5, dissemination.Status{Domain: "north"}, start)
		f, ok := n.NextFetch(start)
		Expect(ok).To(BeTrue())
		Expect(f.From).To(BeEquivalentTo("near"))
		n.FetchDone(f, nil, f.Timeout, start.Add(f.Timeout))
		f, _ = n.NextFetch(start.Add(f.Timeout + 100*time.Millisecond))
		Expect(f.From).To(BeEquivalentTo("far"), "near did not answer")
	})
	It("asks the routers that a busy one names", func() {
		n := newNode("n", wideLink)
		n.Receive("other", "o", dissemination.Status{Revision: 5}, nil, start)
		announce(n, "busy", 5, dissemination.Status{}, start)
		f, _ := n.NextFetch(start)
		Expect(f.From).To(BeEquivalentTo("busy"))
		n.FetchDone(f, &dissemination.Chunk{RetryAfter: time.Second, Others: []ids.VM{"other"}}, time.Millisecond, start)
		f, ok := n.NextFetch(start)
		Expect(ok).To(BeTrue())
		Expect(f.From).To(BeEquivalentTo("other"))
	})
	It("reads it from the store if no other router has it", func() {
		n := newNode("n", wideLink)
		announce(n, "gone", 5, dissemination.Status{}, start)
		now := start
		for {
			f, ok := n.NextFetch(now)
			if ok && f.From == "" {
				break
			}
			if ok {
				n.FetchDone(f, &dissemination.Chunk{Missing: true}, time.Millisecond, now)
			}
			now = now.Add(10 * time.Millisecond)
			Expect(now.Sub(start)).To(BeNumerically("<", time.Second))
		}
		n.StoreReadDone(now)
		n.Resolve(value(5, 10_000).Item)
		_, ok := n.NextFetch(now.Add(time.Second))
		Expect(ok).To(BeFalse())
	})
	It("does not take a chunk of another version, or one that does not follow, for the rest of a value", func() {
		n := newNode("n", wideLink)
		announce(n, "holder", 5, dissemination.Status{}, start)
		f, _ := n.NextFetch(start)
		first := dissemination.Chunk{Revision: 5, EncodedSize: 20, Checksum: 1}
		first.Data = make([]byte, 10)
		_, complete := n.FetchDone(f, &first, time.Millisecond, start)
		Expect(complete).To(BeFalse())
		f, _ = n.NextFetch(start.Add(50 * time.Millisecond))
		Expect(f.Offset).To(Equal(10))
		other := first
		other.Checksum = 2
		_, complete = n.FetchDone(f, &other, time.Millisecond, start.Add(50*time.Millisecond))
		Expect(complete).To(BeFalse())
		f, _ = n.NextFetch(start.Add(time.Minute))
		Expect(f.Offset).To(BeZero(), "the value is fetched from its beginning")
	})
})

var _ = Describe("a node that has the large value", func() {
	It("serves no more than a share of its link, those that have begun first", func() {
		holder := newNode("holder", slowLink)
		content := value(5, 4<<20)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range content.Value {
			content.Value[i] = byte(rng.Uint32())
		}
		holder.Apply([]store.Change{content}, 5)
		served, refused := 0, 0
		now := start
		for ; now.Sub(start) < 4*time.Second; now = now.Add(time.Millisecond) {
			c := holder.ServeFetch(dissemination.ChunkRequest{Revision: 5, Narrow: true}, now).Chunk()
			served += len(c.Data)
			if c.RetryAfter > 0 {
				refused++
			}
		}
		Expect(served).To(BeNumerically("<", int(4*0.3*slowLink)))
		Expect(refused).To(BeNumerically(">", 1000))
		begun := dissemination.ChunkRequest{Revision: 5, Offset: 32 << 10, Checksum: holder.ServeFetch(dissemination.ChunkRequest{Revision: 5}, now.Add(time.Minute)).Chunk().Checksum}
		holder.ServeFetch(dissemination.ChunkRequest{Revision: 5}, now.Add(time.Minute))
		Expect(holder.ServeFetch(begun, now.Add(time.Minute)).Chunk().Data).NotTo(BeEmpty())
	})
	It("serves an older version to those that have begun to fetch it", func() {
		holder := newNode("holder", wideLink)
		holder.Apply([]store.Change{value(5, 200_000)}, 5)
		first := holder.ServeFetch(dissemination.ChunkRequest{Revision: 5}, start).Chunk()
		holder.Apply([]store.Change{value(6, 200_000)}, 6)
		Expect(holder.ServeFetch(dissemination.ChunkRequest{Revision: 5, Offset: 1, Checksum: first.Checksum}, start).Chunk().Revision).To(BeEquivalentTo(5))
		Expect(holder.ServeFetch(dissemination.ChunkRequest{Revision: 5}, start).Chunk().Revision).To(BeEquivalentTo(6))
		Expect(holder.ServeFetch(dissemination.ChunkRequest{Revision: 7}, start).Chunk().Missing).To(BeTrue())
	})
})
