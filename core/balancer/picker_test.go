package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/ids"
)

var start = time.Unix(1000, 0)

func vms(n int) []ids.VM {
	var out []ids.VM
	for i := range n {
		out = append(out, ids.VM(fmt.Sprintf("u%d", i)))
	}
	return out
}

func newPicker() *balancer.Picker { return balancer.New(rand.New(rand.NewPCG(1, 2))) }

// shares returns how many of n requests go to each upstream.
func shares(p *balancer.Picker, r balancer.Request, n int) map[ids.VM]int {
	out := make(map[ids.VM]int)
	for range n {
		vm, _ := p.Pick(start, r)
		out[vm]++
	}
	return out
}

var _ = Describe("a picker", func() {
	It("returns only candidates outside the Avoid list, and always one if there is any", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			p := newPicker()
			candidates := vms(rapid.IntRange(0, 6).Draw(t, "candidates"))
			avoid := vms(rapid.IntRange(0, 6).Draw(t, "avoid"))
			for _, vm := range vms(rapid.IntRange(0, 6).Draw(t, "failed")) {
				p.RecordFailure(start, vm)
			}
			vm, ok := p.Pick(start, balancer.Request{Candidates: candidates, Avoid: avoid, Affinity: rapid.SampledFrom([]string{"", "k"}).Draw(t, "affinity")})
			if ok != (len(candidates) > len(avoid)) {
				t.Fatalf("picked %q of %v without %v", vm, candidates, avoid)
			}
			for _, a := range avoid {
				if ok && vm == a {
					t.Fatalf("picked %q, which is in the Avoid list", vm)
				}
			}
		})
	})
	It("skips an upstream that generates tokens slowly, and uses it again once it has recovered", func() {
		p := newPicker()
		for _, vm := range vms(4) {
			p.RecordLoad(start, vm, balancer.Load{Slots: 16, Cadence: 20 * time.Millisecond})
		}
		p.RecordLoad(start, "u0", balancer.Load{Slots: 16, Cadence: 200 * time.Millisecond})
		Expect(shares(p, balancer.Request{Candidates: vms(4), Tokens: 100}, 400)["u0"]).To(BeZero())
		p.RecordLoad(start, "u0", balancer.Load{Slots: 16, Cadence: 20 * time.Millisecond})
		Expect(shares(p, balancer.Request{Candidates: vms(4), Tokens: 100}, 400)["u0"]).To(BeNumerically(">", 50))
	})
	It("gives work to an upstream whose slowness was measured long ago, so that its recovery can be detected", func() {
		p := newPicker()
		for range 200 {
			for _, vm := range vms(4) {
				p.RecordLoad(start, vm, balancer.Load{Slots: 16, Running: 4, Cadence: 10 * time.Millisecond})
			}
		}
		p.RecordLoad(start, "u0", balancer.Load{Slots: 16, Cadence: 70 * time.Millisecond})
		Expect(shares(p, balancer.Request{Candidates: vms(4), Tokens: 100}, 100)["u0"]).To(BeZero())
		p.RecordLoad(start, "u0", balancer.Load{Slots: 16})
		Expect(shares(p, balancer.Request{Candidates: vms(4), Tokens: 100}, 100)["u0"]).To(BeNumerically(">", 10))
	})
	It("keeps the requests of one prefix on one upstream, unless its predicted finish exceeds the affinity bound", func() {
		p := newPicker()
		r := balancer.Request{Candidates: vms(8), Tokens: 100, Affinity: "ledger of lot 7"}
		got := shares(p, r, 50)
		Expect(got).To(HaveLen(1))
		for vm := range got {
			p.RecordLoad(start, vm, balancer.Load{Slots: 16, Running: 16, Queued: 40, QueuedTokens: 50_000, Cadence: 30 * time.Millisecond})
			Expect(shares(p, r, 50)).NotTo(HaveKey(vm))
		}
	})
	It("counts the work sent since the last report, so that a stale report does not attract a burst", func() {
		p := newPicker()
		counts := make(map[ids.VM]int)
		for range 400 {
			vm, _ := p.Pick(start, balancer.Request{Candidates: vms(4), Tokens: 100})
			p.RecordSent(start, vm, 100)
			counts[vm]++
		}
		for _, vm := range vms(4) {
			Expect(counts[vm]).To(BeNumerically("~", 100, 15))
		}
	})
})

func benchmarkPick(b *testing.B, n int, affinity string) {
	p := newPicker()
	candidates := vms(n)
	for _, vm := range candidates {
		p.RecordLoad(start, vm, balancer.Load{Slots: 16, Running: 8, Cadence: 20 * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(start, balancer.Request{Candidates: candidates, Tokens: 100, Affinity: affinity})
	}
}

func BenchmarkPick24(b *testing.B)           { benchmarkPick(b, 24, "") }
func BenchmarkPick300(b *testing.B)          { benchmarkPick(b, 300, "") }
func BenchmarkPick3100(b *testing.B)         { benchmarkPick(b, 3100, "") }
func BenchmarkPickAffinity24(b *testing.B)   { benchmarkPick(b, 24, "ledger of lot 7") }
func BenchmarkPickAffinity300(b *testing.B)  { benchmarkPick(b, 300, "ledger of lot 7") }
func BenchmarkPickAffinity3100(b *testing.B) { benchmarkPick(b, 3100, "ledger of lot 7") }
