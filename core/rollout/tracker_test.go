package rollout_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
)

var start = time.Unix(1000, 0)

// tracked returns a tracker with an order to the new version and a record of it.
func tracked(r *rollout.Record) *rollout.Tracker {
	t := rollout.New(rollout.DefaultSettings(), service, "router-0", 1, start)
	t.SetPresent([]rollout.Presence{{Version: oldVersion, Upstreams: 2}}, start)
	t.SetOrder(&rollout.Order{Service: service, To: newVersion, Duration: orderLength, Revision: revision(1, 10)}, start)
	if r != nil {
		t.SetRecord(r, revision(1, 11), start)
	}
	return t
}

func record(p rollout.Phase, share rollout.Share) *rollout.Record {
	return &rollout.Record{Order: revision(1, 10), To: newVersion, From: []rollout.Version{oldVersion}, Phase: p, Share: share}
}

// report is the report of another router about the order of tracked.
func report(v rollout.Verdict, cells ...rollout.Cell) rollout.Report {
	return rollout.Report{
		Service: service, Router: "router-1", Started: 1, Sequence: 1, Order: revision(1, 10), To: newVersion, Verdict: v, Cells: cells,
	}
}

var _ = Describe("the versions that a request may go to", func() {
	DescribeTable("are given by the phase",
		func(r *rollout.Record, draw float64, prefersNew, newAsFallback, oldAsFallback bool) {
			c := tracked(r).Choose(draw, start)
			Expect(c.New()).To(Equal(prefersNew))
			Expect(c.Preferred(newVersion)).To(Equal(prefersNew))
			Expect(c.Preferred(oldVersion)).To(Equal(!prefersNew))
			Expect(c.Fallback(newVersion)).To(Equal(newAsFallback))
			Expect(c.Fallback(oldVersion)).To(Equal(oldAsFallback))
			Expect(c.Preferred(thirdVersion)).To(BeFalse())
			Expect(c.Fallback(thirdVersion)).To(BeFalse())
		},
		Entry("no record yet", nil, 0.0, false, false, true),
		Entry("canary, below the share", record(rollout.Canary, 0.1), 0.05, true, true, true),
		Entry("canary, above the share", record(rollout.Canary, 0.1), 0.1, false, false, true),
		Entry("handover", record(rollout.Handover, 1), 0.99, true, true, true),
	)
	It("are the new one only after it was completed, and any other only if that has no upstream", func() {
		c := tracked(record(rollout.Completed, 1)).Choose(0.99, start)
		Expect(c.Preferred(newVersion)).To(BeTrue())
		Expect(c.Preferred(oldVersion)).To(BeFalse())
		Expect(c.Fallback(oldVersion)).To(BeTrue())
	})
	It("never include a version that was rolled back, until an order names it again", func() {
		t := tracked(record(rollout.RolledBack, 0))
		c := t.Choose(0, start)
		Expect(c.Preferred(oldVersion)).To(BeTrue())
		Expect(c.Preferred(newVersion)).To(BeFalse())
		Expect(c.Fallback(newVersion)).To(BeFalse())
		Expect(t.Allowed(newVersion, start)).To(BeFalse())
		t.SetOrder(nil, start)
		Expect(t.Choose(0, start).Fallback(newVersion)).To(BeFalse())
		t.SetOrder(&rollout.Order{Service: service, To: thirdVersion, Duration: orderLength, Revision: revision(1, 20)}, start)
		Expect(t.Allowed(newVersion, start)).To(BeFalse())
		t.SetOrder(&rollout.Order{Service: service, To: newVersion, Duration: orderLength, Revision: revision(1, 30)}, start)
		t.SetPresent([]rollout.Presence{{Version: oldVersion, Upstreams: 2}, {Version: newVersion, Upstreams: 2}}, start)
		v, _ := t.Verdict()
		Expect(v).To(Equal(rollout.Undecided))
		next, d := t.Step(0, start.Add(3*time.Second))
		Expect(d.Write).To(BeTrue())
		Expect(next.Phase).To(Equal(rollout.Canary))
		Expect(next.From).To(Equal([]rollout.Version{oldVersion}))
		Expect(next.RolledBack).To(BeEmpty())
	})
	It("are all that were there first without an order, and none that appears later", func() {
		t := rollout.New(rollout.DefaultSettings(), service, "router-0", 1, start)
		t.SetPresent([]rollout.Presence{{Version: oldVersion, Upstreams: 1}, {Version: newVersion, Upstreams: 1}}, start)
		later := start.Add(time.Minute)
		t.SetPresent([]rollout.Presence{{Version: oldVersion, Upstreams: 1}, {Version: newVersion, Upstreams: 1}, {Version: thirdVersion, Upstreams: 1}}, later)
		Expect(t.Allowed(oldVersion, later)).To(BeTrue())
		Expect(t.Allowed(newVersion, later)).To(BeTrue())
		Expect(t.Allowed(thirdVersion, later)).To(BeFalse())
		t.SetPresent([]rollout.Presence{{Version: thirdVersion, Upstreams: 1}}, later)
		Expect(t.Allowed(thirdVersion, later)).To(BeTrue())
	})
	// Guards against a version that gets requests although its order was replaced before the verdict.
	It("leave out the version of an order that was replaced", func() {
		t := tracked(record(rollout.Ramp, 0.5))
		t.SetOrder(&rollout.Order{Service: service, To: thirdVersion, Duration: orderLength, Revision: revision(1, 20)}, start)
		Expect(t.Allowed(newVersion, start)).To(BeFalse())
		Expect(t.Share(start)).To(BeZero())
	})
})

var _ = Describe("the verdict that a router knows", func() {
	It("is taken from another router without the store, and told on", func() {
		t := tracked(record(rollout.Handover, 1))
		Expect(t.Merge(report(rollout.Rejected), start)).To(BeTrue())
		Expect(t.Allowed(newVersion, start)).To(BeFalse())
		r, ok := t.Report(start)
		Expect(ok).To(BeTrue())
		Expect(r.Verdict).To(Equal(rollout.Rejected))
		next, d := t.Step(0, start.Add(3*time.Second))
		Expect(d.Write).To(BeTrue())
		Expect(next.Phase).To(Equal(rollout.RolledBack))
	})
	It("is the written one, also against routers that have rejected the version", func() {
		t := tracked(record(rollout.Completed, 1))
		Expect(t.Merge(report(rollout.Rejected), start)).To(BeFalse())
		Expect(t.Allowed(newVersion, start)).To(BeTrue())
	})
	It("does not come from a report on an earlier order", func() {
		t := tracked(record(rollout.Canary, 0.1))
		old := report(rollout.Rejected)
		old.Order = revision(1, 5)
		Expect(t.Merge(old, start)).To(BeFalse())
	})
	// Guards against a rollout that begins anew, or ends otherwise, because the store has lost the record of its verdict.
	It("stands when the store returns from an older copy, and is written again", func() {
		t := tracked(record(rollout.Completed, 1))
		t.SetOrder(&rollout.Order{Service: service, To: newVersion, Duration: orderLength, Revision: revision(2, 10)}, start)
		t.SetRecord(record(rollout.Ramp, 0.5), revision(2, 11), start)
		t.SetPresent([]rollout.Presence{{Version: oldVersion, Upstreams: 2}, {Version: newVersion, Upstreams: 2}}, start)
		v, _ := t.Verdict()
		Expect(v).To(Equal(rollout.WrittenCompleted))
		Expect(t.Choose(0.99, start).Preferred(newVersion)).To(BeTrue())
		next, d := t.Step(0, start)
		Expect(d.Write).To(BeTrue())
		Expect(next.Phase).To(Equal(rollout.Completed))
	})
	It("waits after a start until others have had the time to tell theirs", func() {
		cells := []rollout.Cell{
			{Route: "a", Class: rollout.ClassNew, Upstream: "u", Counts: rollout.Counts{Requests: 20, Sent: 20, Answers: 20, Bad: 20}},
			{Route: "a", Class: rollout.ClassOld, Counts: rollout.Counts{Requests: 200, Sent: 200, Answers: 200}},
		}
		t := tracked(record(rollout.Canary, 0.1))
		t.SetPresent([]rollout.Presence{{Version: oldVersion, Upstreams: 1}, {Version: newVersion, Upstreams: 1}}, start)
		t.Merge(report(rollout.Undecided, cells...), start)
		next, _ := t.Step(0, start.Add(time.Second))
		Expect(next.Phase).To(Equal(rollout.Canary))
		next, d := t.Step(0, start.Add(2*time.Second))
		Expect(d.Write).To(BeTrue())
		Expect(next.Phase).To(Equal(rollout.RolledBack))
	})
	It("is completed at once if the order names the version in service", func() {
		t := rollout.New(rollout.DefaultSettings(), service, "router-0", 1, start)
		t.SetPresent([]rollout.Presence{{Version: newVersion, Upstreams: 2}}, start)
		t.SetOrder(&rollout.Order{Service: service, To: newVersion, Duration: orderLength, Revision: revision(1, 10)}, start)
		Expect(t.Allowed(newVersion, start)).To(BeTrue())
		next, d := t.Step(0, start.Add(3*time.Second))
		Expect(d.Write).To(BeTrue())
		Expect(next.Phase).To(Equal(rollout.Completed))
	})
})

var _ = Describe("a record", func() {
	It("is encoded in snake_case and decoded to the same", func() {
		r := *record(rollout.Ramp, 0.25)
		r.Elapsed, r.Since, r.UsableAt, r.Requests, r.Exposed = 9*time.Second, 8*time.Second, time.Second, 200, 20
		b, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(MatchJSON(fmt.Sprintf(`{"order":%d,"to":"v2","from":["v1"],"phase":"ramp","share":0.25,"elapsed_ms":9000,
			"since_ms":8000,"usable_at_ms":1000,"requests":200,"exposed":20}`, uint64(revision(1, 10)))))
		var back rollout.Record
		Expect(json.Unmarshal(b, &back)).To(Succeed())
		Expect(back).To(Equal(r))
	})
	It("is refused with an unknown phase or a share above one", func() {
		var r rollout.Record
		Expect(json.Unmarshal([]byte(`{"phase":"later"}`), &r)).NotTo(Succeed())
		Expect(json.Unmarshal([]byte(`{"phase":"canary","share":2}`), &r)).NotTo(Succeed())
	})
	It("gives the status", func() {
		Expect(record(rollout.Handover, 1).Status()).To(Equal(rollout.Status{State: rollout.StateRunning, To: newVersion}))
		Expect(record(rollout.RolledBack, 0).Status().State).To(Equal(rollout.StateRolledBack))
	})
})

var _ = Describe("the counts of other routers", func() {
	cell := func(n uint32) rollout.Cell {
		return rollout.Cell{Route: "a", Class: rollout.ClassNew, Domain: "fd-0", Counts: rollout.Counts{Requests: n, Sent: n, Answers: n}}
	}
	// Guards against counts that grow with repeated messages, or shrink with late ones or a restart.
	It("are replaced by newer ones only, and kept for each start", func() {
		t := tracked(record(rollout.Canary, 0.1))
		for _, sequence := range []uint64{2, 2, 1, 3} {
			r := report(rollout.Undecided, cell(uint32(10*sequence)))
			r.Sequence = sequence
			t.Merge(r, start)
		}
		Expect(t.Evidence(start).Exposed).To(Equal(30))
		again := report(rollout.Undecided, cell(5))
		again.Started = 2
		t.Merge(again, start)
		Expect(t.Evidence(start).Exposed).To(Equal(35))
		Expect(rollout.Judge(t.Evidence(start)).Answers).To(BeNumerically("==", 35))
	})
	It("do not include this router's own requests to versions that are not part of the order", func() {
		t := tracked(record(rollout.Canary, 0.1))
		s := t.RecordRequest(rollout.Request{Route: "a", Version: thirdVersion, Upstream: ids.VM("u")}, start)
		t.RecordAnswer(s, rollout.Outcome{Failed: true}, start)
		Expect(t.Evidence(start).Exposed).To(BeZero())
		Expect(rollout.Judge(t.Evidence(start)).Answers).To(BeZero())
	})
})
