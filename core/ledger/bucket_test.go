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

// simulation holds one bucket in the platform's service, and agents and routers that change copies of it. A copy is written
// back by compare-and-swap, which fails if another write came first.
type simulation struct {
	t              *rapid.T
	now            time.Time
	body           []byte
	index          int
	writers        []*writer
	runs           int
	reportedNotRun map[ids.Call]bool
	started        map[ids.Call]bool
	calls          int
}

// writer is an agent or a router that has read the bucket to begin or cancel one call.
type writer struct {
	bucket  *ledger.Bucket
	index   int
	call    ids.Call
	cancels bool
	proceed bool
	written bool
	sent    bool
}

func (s *simulation) key() ledger.Key { return ledger.KeyOf("growers", "nilam-desk", "slip-1") }

func (s *simulation) read(cancels bool, call ids.Call) {
	b, err := ledger.Decode(s.body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.writers = append(s.writers, &writer{bucket: b, index: s.index, call: call, cancels: cancels})
}

func (s *simulation) agentReads(t *rapid.T) {
	s.calls++
	s.read(false, ids.Call(fmt.Sprint(s.calls)))
}

// routerCancels lets a router cancel one of the forwarded calls.
func (s *simulation) routerCancels(t *rapid.T) {
	if s.calls == 0 {
		t.Skip("no call was forwarded")
	}
	s.read(true, ids.Call(fmt.Sprint(rapid.IntRange(1, s.calls).Draw(t, "call"))))
}

func (s *simulation) pickWriter(t *rapid.T) *writer {
	if len(s.writers) == 0 {
		t.Skip("no writer has read the bucket")
	}
	return rapid.SampledFrom(s.writers).Draw(t, "writer")
}

// swap attempts a writer's compare-and-swap. If the swap fails or its reply is lost, the writer reads the bucket again.
func (s *simulation) swap(t *rapid.T) {
	w := s.pickWriter(t)
	if w.written {
		t.Skip("already written")
	}
	start := ledger.Start{Key: s.key(), Call: w.call, BodyHash: 1}
	changed := false
	if w.cancels {
		_, changed = w.bucket.Cancel(s.now, start)
	} else {
		d := w.bucket.Begin(s.now, limits, start)
		w.proceed = d.Verdict == ledger.Proceed || (d.Verdict == ledger.InProgress && d.Entry.Call == w.call)
		changed = d.Verdict == ledger.Proceed
	}
	current := w.index == s.index
	if changed && current {
		s.body, _ = w.bucket.Encode()
		s.index++
	}
	if (changed && !current) || rapid.IntRange(0, 3).Draw(t, "reply lost") == 0 {
		w.bucket, _ = ledger.Decode(s.body)
		w.index = s.index
		w.proceed = false
		return
	}
	w.written = true
	if w.cancels && changed {
		s.reportedNotRun[w.call] = true
	}
}

func (s *simulation) send(t *rapid.T) {
	w := s.pickWriter(t)
	if !w.written || !w.proceed || w.sent || w.cancels {
		t.Skip("nothing to send")
	}
	w.sent = true
	s.runs++
	s.started[w.call] = true
}

// crash stops a writer, possibly before its write or before it sends the call.
func (s *simulation) crash(t *rapid.T) {
	w := s.pickWriter(t)
	w.written, w.sent = true, true
}

func (s *simulation) check(t *rapid.T) {
	if s.runs > 1 {
		t.Fatalf("the call ran %d times", s.runs)
	}
	for call := range s.reportedNotRun {
		if s.started[call] {
			t.Fatalf("call %s was reported as not run but ran", call)
		}
	}
}

var _ = Describe("a ledger bucket", func() {
	It("runs a key at most once, and never runs a call that was reported as not run", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := &simulation{t: t, now: time.Unix(0, 0), reportedNotRun: make(map[ids.Call]bool), started: make(map[ids.Call]bool)}
			t.Repeat(map[string]func(*rapid.T){
				"agentReads": s.agentReads, "routerCancels": s.routerCancels, "swap": s.swap, "swapToo": s.swap,
				"send": s.send, "crash": s.crash, "": s.check,
			})
		})
	})
	It("returns the recorded reply to a repeated call, and refuses a different body with the same key", func() {
		b, _ := ledger.Decode(nil)
		now := time.Unix(0, 0)
		first := ledger.Start{Key: "k", Call: "1", BodyHash: 1}
		Expect(b.Begin(now, limits, first).Verdict).To(Equal(ledger.Proceed))
		Expect(b.Finish("k", "1", ledger.Reply{Status: 200, Body: []byte("receipt 1")})).To(BeTrue())
		second := b.Begin(now, limits, ledger.Start{Key: "k", Call: "2", BodyHash: 1})
		Expect(second.Verdict).To(Equal(ledger.Recorded))
		Expect(string(second.Entry.Reply.Body)).To(Equal("receipt 1"))
		Expect(b.Begin(now, limits, ledger.Start{Key: "k", Call: "3", BodyHash: 2}).Verdict).To(Equal(ledger.Mismatch))
	})
	It("lets another call with the same key proceed after a withdrawal, but not the withdrawn call", func() {
		b, _ := ledger.Decode(nil)
		now := time.Unix(0, 0)
		first := ledger.Start{Key: "k", Call: "1", BodyHash: 1}
		b.Begin(now, limits, first)
		Expect(b.Withdraw("k", "1")).To(BeTrue())
		Expect(b.Begin(now, limits, first).Verdict).To(Equal(ledger.Refused))
		Expect(b.Begin(now, limits, ledger.Start{Key: "k", Call: "2", BodyHash: 1}).Verdict).To(Equal(ledger.Proceed))
	})
	It("is full before it reaches the platform's limit of a megabyte, and drops entries only after the retention", func() {
		b, _ := ledger.Decode(nil)
		now := time.Unix(0, 0)
		largeLimits := ledger.Limits{MaxEntries: 100_000, Retention: time.Hour}
		n := 0
		for ; ; n++ {
			k := ledger.KeyOf("growers", "nilam-desk", fmt.Sprint(n))
			if b.Begin(now, largeLimits, ledger.Start{Key: k, Call: "c", BodyHash: 1}).Verdict == ledger.Full {
				break
			}
			b.Finish(k, "c", ledger.Reply{Status: 200, ContentType: "application/json", Body: make([]byte, n%5000)})
		}
		body, err := b.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<", 1<<20))
		late := ledger.Start{Key: "late", Call: "c"}
		Expect(b.Begin(now.Add(time.Hour), largeLimits, late).Verdict).To(Equal(ledger.Full))
		Expect(b.Begin(now.Add(time.Hour+1), largeLimits, late).Verdict).To(Equal(ledger.Proceed))
	})
})

var _ = Describe("decoding a ledger bucket", func() {
	It("does not panic on arbitrary input", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			b, err := ledger.Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
			if err == nil {
				b.Begin(time.Unix(0, 0), limits, ledger.Start{Key: "k"})
			}
		})
	})
})
