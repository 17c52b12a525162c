package ledger_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ledger"
)

var limits = ledger.Limits{MaxEntries: 100, Retention: time.Hour}

// site is one key, its bucket in the service, and several agents and routers that work on copies of it. A copy is
// swapped in only if nobody was first, as the service does.
type site struct {
	t       *rapid.T
	now     time.Time
	body    []byte
	index   int
	copies  []*copyOf
	runs    int
	notRun  map[ids.Call]bool
	started map[ids.Call]bool
	calls   int
}

// copyOf is what an agent or a router does with one call between its read and its swap.
type copyOf struct {
	bucket  *ledger.Bucket
	index   int
	call    ids.Call
	cancels bool
	proceed bool
	written bool
	sent    bool
}

func (s *site) key() ledger.Key { return ledger.KeyOf("growers", "nilam-desk", "slip-1") }

func (s *site) read(cancels bool, call ids.Call) {
	b, err := ledger.Decode(s.body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.copies = append(s.copies, &copyOf{bucket: b, index: s.index, call: call, cancels: cancels})
}

func (s *site) agentReads(t *rapid.T) {
	s.calls++
	s.read(false, ids.Call(fmt.Sprint(s.calls)))
}

// routerGivesUp cancels one of the calls that were forwarded.
func (s *site) routerGivesUp(t *rapid.T) {
	if s.calls == 0 {
		t.Skip("no call was forwarded")
	}
	s.read(true, ids.Call(fmt.Sprint(rapid.IntRange(1, s.calls).Draw(t, "call"))))
}

func (s *site) pick(t *rapid.T) *copyOf {
	if len(s.copies) == 0 {
		t.Skip("nobody holds a copy")
	}
	return rapid.SampledFrom(s.copies).Draw(t, "copy")
}

// swap tries the write of a copy; its answer may be lost, and then the writer reads again and finds how it stands.
func (s *site) swap(t *rapid.T) {
	c := s.pick(t)
	if c.written {
		t.Skip("written already")
	}
	start := ledger.Start{Key: s.key(), Call: c.call, BodyHash: 1}
	changed := false
	if c.cancels {
		_, changed = c.bucket.Cancel(s.now, start)
	} else {
		d := c.bucket.Begin(s.now, limits, start)
		c.proceed = d.Verdict == ledger.Proceed || (d.Verdict == ledger.InProgress && d.Entry.Call == c.call)
		changed = d.Verdict == ledger.Proceed
	}
	won := c.index == s.index
	if changed && won {
		s.body, _ = c.bucket.Encode()
		s.index++
	}
	if (changed && !won) || rapid.IntRange(0, 3).Draw(t, "answer lost") == 0 {
		c.bucket, _ = ledger.Decode(s.body)
		c.index = s.index
		c.proceed = false
		return
	}
	c.written = true
	if c.cancels && changed {
		s.notRun[c.call] = true
	}
}

func (s *site) send(t *rapid.T) {
	c := s.pick(t)
	if !c.written || !c.proceed || c.sent || c.cancels {
		t.Skip("not to be sent")
	}
	c.sent = true
	s.runs++
	s.started[c.call] = true
}

func (s *site) holderDies(t *rapid.T) {
	c := s.pick(t)
	c.written, c.sent = true, true
}

func (s *site) check(t *rapid.T) {
	if s.runs > 1 {
		t.Fatalf("the slip ran %d times", s.runs)
	}
	for call := range s.notRun {
		if s.started[call] {
			t.Fatalf("call %s was reported as not run, and ran", call)
		}
	}
}

var _ = Describe("a ledger bucket", func() {
	It("lets a key run at most once, and never a call that was reported as not run", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := &site{t: t, now: time.Unix(0, 0), notRun: make(map[ids.Call]bool), started: make(map[ids.Call]bool)}
			t.Repeat(map[string]func(*rapid.T){
				"agentReads": s.agentReads, "routerGivesUp": s.routerGivesUp, "swap": s.swap, "swapToo": s.swap,
				"send": s.send, "holderDies": s.holderDies, "": s.check,
			})
		})
	})
	It("gives the recorded reply to a repeat, and refuses another body under the same key", func() {
		b, _ := ledger.Decode(nil)
		now := time.Unix(0, 0)
		first := ledger.Start{Key: "k", Call: "1", BodyHash: 1}
		Expect(b.Begin(now, limits, first).Verdict).To(Equal(ledger.Proceed))
		Expect(b.Finish("k", "1", ledger.Reply{Status: 200, Body: []byte("receipt 1")})).To(BeTrue())
		repeat := b.Begin(now, limits, ledger.Start{Key: "k", Call: "2", BodyHash: 1})
		Expect(repeat.Verdict).To(Equal(ledger.Recorded))
		Expect(string(repeat.Entry.Reply.Body)).To(Equal("receipt 1"))
		Expect(b.Begin(now, limits, ledger.Start{Key: "k", Call: "3", BodyHash: 2}).Verdict).To(Equal(ledger.Mismatch))
	})
	It("lets a key run after its first call was withdrawn, but not that call itself", func() {
		b, _ := ledger.Decode(nil)
		now := time.Unix(0, 0)
		first := ledger.Start{Key: "k", Call: "1", BodyHash: 1}
		b.Begin(now, limits, first)
		Expect(b.Withdraw("k", "1")).To(BeTrue())
		Expect(b.Begin(now, limits, first).Verdict).To(Equal(ledger.Refused))
		Expect(b.Begin(now, limits, ledger.Start{Key: "k", Call: "2", BodyHash: 1}).Verdict).To(Equal(ledger.Proceed))
	})
	It("refuses when full, below the platform's megabyte, and forgets after the retention only", func() {
		b, _ := ledger.Decode(nil)
		now := time.Unix(0, 0)
		wide := ledger.Limits{MaxEntries: 100_000, Retention: time.Hour}
		n := 0
		for ; ; n++ {
			k := ledger.KeyOf("growers", "nilam-desk", fmt.Sprint(n))
			if b.Begin(now, wide, ledger.Start{Key: k, Call: "c", BodyHash: 1}).Verdict == ledger.Full {
				break
			}
			b.Finish(k, "c", ledger.Reply{Status: 200, ContentType: "application/json", Body: make([]byte, n%5000)})
		}
		body, err := b.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", 1<<20))
		late := ledger.Start{Key: "late", Call: "c"}
		Expect(b.Begin(now.Add(time.Hour), wide, late).Verdict).To(Equal(ledger.Full))
		Expect(b.Begin(now.Add(time.Hour+1), wide, late).Verdict).To(Equal(ledger.Proceed))
	})
})

var _ = Describe("decoding a bucket", func() {
	It("never panics on what it reads", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			b, err := ledger.Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
			if err == nil {
				b.Begin(time.Unix(0, 0), limits, ledger.Start{Key: "k"})
			}
		})
	})
})
