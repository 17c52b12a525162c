package activeconfig_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
)

// revision is an accepted configuration with all its chunks.
type revision struct {
	head *declared.Head
	set  declared.ChunkSet
}

// lineage makes a line of revisions, each of which changes one workspace.
func lineage(n, workspaces int) []revision {
	cfg := &declared.Config{Services: []declared.Service{{Name: "lug-pool", Kind: declared.ModelService}}}
	for i := range workspaces {
		cfg.Workspaces = append(cfg.Workspaces, declared.Workspace{Name: ids.Workspace(fmt.Sprintf("w-%d", i))})
	}
	head := &declared.Head{}
	var out []revision
	for i := range n {
		if workspaces > 0 {
			cfg.Workspaces[i%workspaces].MaxRunning = i + 1
		}
		set, _ := cfg.Chunks()
		head = head.Next(declared.Summary{ApplyID: fmt.Sprint(i)}, set)
		out = append(out, revision{head, set})
	}
	return out
}

// relay lets a holder fetch from another one without a connection.
type relay struct {
	wire.DRPCRouterClient

	from *activeconfig.Holder
}

func (r relay) Fetch(_ context.Context, in *wire.FetchRequest) (*wire.FetchReply, error) {
	return r.from.Serve(in)
}

var _ = Describe("holders", func() {
	It("never revert, whoever offers what, and all reach the newest revision when everyone can speak", func() {
		line := lineage(6, 150)
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var holders []*activeconfig.Holder
			for i := range 5 {
				holders = append(holders, activeconfig.New(i >= 3))
			}
			// The first holder always has the store; offers of old revisions and of peers come in any order.
			highest := make([]ids.Revision, len(holders))
			newest := 0
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					newest = min(newest+1, len(line)-1)
					_, _ = holders[0].Accept(line[newest].head, line[newest].set.Bodies)
				case 1:
					old := line[rapid.IntRange(0, newest).Draw(t, "revision")]
					_, _ = holders[i].Accept(old.head, old.set.Bodies)
				default:
					from := rapid.IntRange(0, 2).Draw(t, "from")
					_, _ = holders[i].Fetch(GinkgoTB().Context(), relay{from: holders[from]}, "vm")
				}
				for h := range holders {
					now := holders[h].Revision()
					if now < highest[h] {
						t.Fatalf("holder %d went back from %d to %d", h, highest[h], now)
					}
					highest[h] = now
				}
			}
			_, _ = holders[0].Accept(line[newest].head, line[newest].set.Bodies)
			for _, h := range holders[1:] {
				if _, err := h.Fetch(GinkgoTB().Context(), relay{from: holders[0]}, "vm"); err != nil {
					t.Fatal(err)
				}
				if h.Revision() != line[newest].head.Revision {
					t.Fatalf("revision %d, want %d", h.Revision(), line[newest].head.Revision)
				}
			}
		})
	})
	It("keep what is in force when a newer head's chunks cannot be had", func() {
		line := lineage(2, 3)
		h := activeconfig.New(false)
		_, err := h.Accept(line[0].head, line[0].set.Bodies)
		Expect(err).NotTo(HaveOccurred())
		_, err = h.Accept(line[1].head, nil)
		Expect(err).To(HaveOccurred())
		Expect(h.Revision()).To(Equal(ids.Revision(1)))
	})
	It("are sent the changed chunk's name only, and a whole head when the peer does not hold their revision any more", func() {
		line := lineage(20, 1000)
		from, to := activeconfig.New(false), activeconfig.New(false)
		_, _ = to.Accept(line[0].head, line[0].set.Bodies)
		for i, r := range line[:10] {
			_, _ = from.Accept(r.head, r.set.Bodies)
			reply, _ := from.Serve(&wire.FetchRequest{Header: &wire.Header{Revision: 1}})
			Expect(len(reply.GetChanged())).To(BeNumerically("<=", i))
			Expect(len(reply.GetHead())).To(BeNumerically("<", 400))
		}
		_, err := to.Fetch(GinkgoTB().Context(), relay{from: from}, "vm")
		Expect(err).NotTo(HaveOccurred())
		Expect(to.Current().Head.WorkspaceChunks).To(Equal(line[9].head.WorkspaceChunks))
		late := activeconfig.New(false)
		_, _ = late.Accept(line[0].head, line[0].set.Bodies)
		for _, r := range line {
			_, _ = from.Accept(r.head, r.set.Bodies)
		}
		_, err = late.Fetch(GinkgoTB().Context(), relay{from: from}, "vm")
		Expect(err).NotTo(HaveOccurred())
		Expect(late.Current().Head.WorkspaceChunks).To(Equal(line[19].head.WorkspaceChunks))
	})
	It("need only the changed chunk of a new revision", func() {
		line := lineage(2, 1000)
		h := activeconfig.New(false)
		_, _ = h.Accept(line[0].head, line[0].set.Bodies)
		Expect(h.MissingChunks(line[1].head)).To(HaveLen(1))
		agent := activeconfig.New(true)
		_, _ = agent.Accept(line[0].head, line[0].set.Bodies)
		Expect(agent.MissingChunks(line[1].head)).To(BeEmpty())
	})
})

func BenchmarkAccept19000(b *testing.B) {
	line := lineage(2, 19_000)
	b.ReportAllocs()
	for b.Loop() {
		h := activeconfig.New(false)
		if _, err := h.Accept(line[0].head, line[0].set.Bodies); err != nil {
			b.Fatal(err)
		}
	}
}
