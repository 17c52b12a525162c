package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

var start = time.Unix(1000, 0)

const (
	shared = quarantine.Part(0xf)
	other  = quarantine.Part(0xe)
	poison = quarantine.Part(0xbad)
)

func parts(p ...quarantine.Part) []quarantine.Part { return p }

func statesOf(changes []quarantine.Change) map[quarantine.Part]quarantine.State {
	out := map[quarantine.Part]quarantine.State{}
	for _, c := range changes {
		out[c.Part] = c.State
	}
	return out
}

var _ = Describe("the quarantine of prompt parts", func() {
	var (
		q       *quarantine.Quarantine
		now     time.Time
		engines int
	)
	BeforeEach(func() {
		q, now, engines = quarantine.New("r1"), start, 0
	})
	crashAt := func(q *quarantine.Quarantine, p ...quarantine.Part) []quarantine.Change {
		engines++
		return q.RecordCrash(quarantine.Crash{Parts: p, Upstream: ids.VM(fmt.Sprint("i-", engines)), At: now})
	}
	crash := func(p ...quarantine.Part) []quarantine.Change { return crashAt(q, p...) }
	crashes := func(n int, p ...quarantine.Part) (last []quarantine.Change) {
		for range n {
			now = now.Add(2 * time.Second)
			last = crash(p...)
		}
		return last
	}
	allowed := func(p ...quarantine.Part) bool { return q.Check("a", p, now).Allowed }

	It("quarantines a part that was never sound at the third crash, and no part that has been sound since", func() {
		for range 2 {
			now = now.Add(time.Second)
			q.RecordSound(parts(shared, other), now)
			Expect(crashes(1, shared, poison)).To(BeEmpty())
			Expect(allowed(shared, poison)).To(BeTrue())
		}
		q.RecordSound(parts(shared), now)
		Expect(statesOf(crashes(1, shared, poison))).To(Equal(map[quarantine.Part]quarantine.State{poison: quarantine.Opened}))
		v := q.Check("a", parts(shared, poison), now)
		Expect(v).To(And(HaveField("Allowed", false), HaveField("Part", poison), HaveField("Crashes", 3)))
		Expect(v.Remaining).To(BeNumerically(">=", 5*time.Minute))
		Expect(allowed(shared)).To(BeTrue())
		Expect(allowed(other, poison)).To(BeFalse())
		crashes(20, shared, poison)
		Expect(q.Check("b", parts(shared), now)).To(And(HaveField("Allowed", true), HaveField("Trial", false)))
	})
	It("quarantines a part that was sound before it became a poison pill", func() {
		q.RecordSound(parts(shared, poison), now)
		for range 3 {
			Expect(crashes(1, shared, poison)).To(BeEmpty())
			for range 3 {
				q.RecordSound(parts(shared), now.Add(time.Second))
			}
		}
		Expect(statesOf(crashes(1, shared, poison))).To(HaveKeyWithValue(poison, quarantine.Opened))
		Expect(allowed(shared)).To(BeTrue())
	})
	It("counts upstreams that crash together, and the runs of one upstream, as one incident", func() {
		for range 20 {
			now = now.Add(10 * time.Millisecond)
			Expect(crash(shared)).To(BeEmpty())
		}
		now = now.Add(time.Second)
		for i := range 20 {
			now = now.Add(time.Second)
			Expect(q.RecordCrash(quarantine.Crash{Parts: parts(other, quarantine.Part(i)), Upstream: "i-1", Started: 7, At: now})).To(BeEmpty())
		}
		Expect(allowed(shared, other)).To(BeTrue())
	})
	It("lets evidence fade after a minute", func() {
		for range 10 {
			Expect(crash(shared, poison)).To(BeEmpty())
			now = now.Add(31 * time.Second)
		}
		Expect(allowed(shared, poison)).To(BeTrue())
	})
	It("refuses requests with two equally suspect parts, and admits one trial with one of them at a time", func() {
		Expect(crashes(3, shared, poison)).To(HaveLen(2))
		Expect(allowed(shared, poison)).To(BeFalse())
		now = now.Add(3 * time.Second)
		Expect(q.Check("trial", parts(shared), now)).To(And(HaveField("Allowed", true), HaveField("Trial", true)))
		Expect(q.Check("trial", parts(shared), now).Allowed).To(BeTrue())
		Expect(q.Check("second", parts(shared), now).Allowed).To(BeFalse())
		Expect(q.Check("third", parts(shared, poison), now).Allowed).To(BeFalse())
		Expect(statesOf(q.RecordSound(parts(shared), now))).To(Equal(map[quarantine.Part]quarantine.State{shared: quarantine.Released}))
		Expect(q.Check("second", parts(shared), now)).To(And(HaveField("Allowed", true), HaveField("Trial", false)))
		Expect(allowed(other, poison)).To(BeFalse())
	})
	It("gives the trial to another request when the first one ends without an outcome", func() {
		crashes(3, shared, poison)
		now = now.Add(3 * time.Second)
		Expect(q.Check("trial", parts(shared), now).Trial).To(BeTrue())
		q.EndTrial("trial")
		Expect(q.Check("second", parts(shared), now).Trial).To(BeTrue())
	})
	It("releases the other suspect once the trials of one of them crash", func() {
		crashes(3, shared, poison)
		now = now.Add(3 * time.Second)
		Expect(q.Check("trial", parts(other, poison), now).Trial).To(BeTrue())
		engines++
		Expect(q.RecordCrash(quarantine.Crash{Request: "trial", Parts: parts(other, poison), Upstream: ids.VM(fmt.Sprint("i-", engines)), At: now})).To(BeEmpty())
		Expect(q.Check("trial", parts(other, poison), now).Allowed).To(BeFalse())
		Expect(statesOf(crashes(1, other, poison))).To(Equal(map[quarantine.Part]quarantine.State{shared: quarantine.Released}))
		Expect(allowed(other, poison)).To(BeFalse())
		Expect(allowed(shared)).To(BeTrue())
	})
	It("releases a part whose crashes turn out to be those of a poison pill at the same engines", func() {
		var report quarantine.Report
		far := quarantine.New("r2")
		for i := range 3 {
			now = now.Add(2 * time.Second)
			vm := ids.VM(fmt.Sprint("i-", i))
			q.RecordCrash(quarantine.Crash{Parts: parts(other), Upstream: vm, At: now})
			far.RecordCrash(quarantine.Crash{Parts: parts(shared, poison), Upstream: vm, At: now})
			far.RecordSound(parts(shared), now.Add(time.Second))
		}
		now = now.Add(2 * time.Second)
		far.RecordCrash(quarantine.Crash{Parts: parts(shared, poison), Upstream: "i-8", At: now})
		now = now.Add(2 * time.Second)
		far.RecordCrash(quarantine.Crash{Parts: parts(shared, poison), Upstream: "i-9", At: now})
		Expect(allowed(other)).To(BeFalse())
		report = far.Report(now)
		Expect(statesOf(q.Merge("r2", report, now))).To(Equal(map[quarantine.Part]quarantine.State{other: quarantine.Released, poison: quarantine.Opened}))
		Expect(allowed(other)).To(BeTrue())
		Expect(allowed(shared)).To(BeTrue())
		Expect(allowed(shared, poison)).To(BeFalse())
	})
	It("is half-open after the open time, opens for twice as long when a trial crashes, up to an hour, and closes when one is sound", func() {
		q.RecordSound(parts(shared), now)
		crashes(3, shared, poison)
		openFor := 5 * time.Minute
		for range 6 {
			now = now.Add(openFor - time.Second)
			Expect(allowed(shared, poison)).To(BeFalse())
			now = now.Add(time.Second + openFor/2)
			Expect(q.Check("trial", parts(shared, poison), now).Trial).To(BeTrue())
			Expect(q.Check("second", parts(shared, poison), now).Allowed).To(BeFalse())
			openFor = min(2*openFor, time.Hour)
			Expect(crash(shared, poison)).To(ConsistOf(And(HaveField("Part", poison), HaveField("OpenFor", openFor), HaveField("Reason", "crash of a trial"))))
			Expect(q.Check("trial", parts(shared, poison), now).Allowed).To(BeFalse())
		}
		now = now.Add(openFor + openFor/2)
		Expect(q.Check("trial", parts(shared, poison), now).Trial).To(BeTrue())
		Expect(q.RecordSound(parts(shared, poison), now)).To(ConsistOf(HaveField("State", quarantine.Released)))
		Expect(q.Check("b", parts(shared, poison), now)).To(And(HaveField("Allowed", true), HaveField("Trial", false)))
	})
	It("does not convict a part that was sound before while engines crash whatever they run", func() {
		q.RecordSound(parts(shared, other), now)
		Expect(crashes(20, shared, other)).To(BeEmpty())
		Expect(allowed(shared, other)).To(BeTrue())
	})
	It("opens for a few seconds only while no run of the model is sound", func() {
		Expect(crashes(3, shared)).To(ConsistOf(HaveField("OpenFor", 10*time.Second)))
		now = now.Add(15 * time.Second)
		Expect(q.Check("trial", parts(shared), now).Trial).To(BeTrue())
	})
	It("does not blame a part for crashes while a sound run with it follows each", func() {
		for range 200 {
			now = now.Add(400 * time.Millisecond)
			Expect(crash(shared, other)).To(BeEmpty())
			q.RecordSound(parts(shared, other), now.Add(100*time.Millisecond))
		}
		Expect(allowed(shared, other)).To(BeTrue())
	})
	It("excludes the last part of a prompt, and distinguishes the parts of models", func() {
		Expect(quarantine.Parts("m", []string{"5c"})).To(BeEmpty())
		Expect(quarantine.Parts("m", nil)).To(BeEmpty())
		Expect(quarantine.Parts("m", []string{"5c", "91", "e4"})).To(HaveLen(2))
		Expect(quarantine.Parts("m", []string{"5c", "91"})).NotTo(Equal(quarantine.Parts("n", []string{"5c", "91"})))
		Expect(crashes(9)).To(BeEmpty())
	})
	It("returns decisions with the inputs for the log", func() {
		q.RecordSound(parts(shared), now)
		c := crashes(3, shared, poison)[0]
		Expect(c.LogFields()).To(ContainElements("part", poison, "opened", "crashes", 3, "reported_by", []ids.VM{"r1"}, "last_crash_age", "0s"))
		Expect(q.Check("a", parts(poison), now).LogFields()).To(ContainElements("part", poison, "crashes", 3, "age", "0s"))
		Expect(poison.String()).To(Equal("bad"))
	})
})
