package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
)

var _ = Describe("the answers that are counted for a rollout", func() {
	signed := func(w net.Conn, r *http.Request, status int, body string) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), len(body), body)
	}
	// newVersion returns a router all of whose requests of a service go to an upstream of a new version, beside an old one that answers.
	newVersion := func(service ids.Service, respond respondFunc) *testRouter {
		r := newTestRouter(0)
		now := r.clock.Now()
		r.rollouts = newRollouts(Settings{VM: "entry", Rollouts: &Rollouts{ExposeShare: 0.1, ExposeSlack: 50}}, now, r.boot)
		u, old := newRawUpstream(respond), newRawUpstream(func(w net.Conn, r *http.Request) { signed(w, r, 200, "old") })
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, x := range []*rawUpstream{old, u} {
			r.fleet.Put(fleet.Entry{
				ID: ids.VM(x.address), Service: service, Address: x.address, Domain: "north", Slots: 4, Version: fmt.Sprint("v", i+1),
			}, 0, now.Add(-time.Minute))
		}
		s := r.rolloutOf(service)
		o := rollout.Order{Service: service, To: "v2", Duration: time.Minute, Revision: 5}
		s.order = &o
		s.SetOrder(&o, now)
		record := rollout.Record{Order: 5, To: "v2", From: []rollout.Version{"v1"}, Phase: rollout.Handover, Share: 1, Proven: true}
		s.record = &record
		s.SetRecord(&record, 6, now)
		r.updatePresence(now)
		return r
	}
	counts := func(r *testRouter, service ids.Service) rollout.Counts {
		r.mu.Lock()
		defer r.mu.Unlock()
		report, _ := r.rolloutOf(service).Report(r.clock.Now())
		var out rollout.Counts
		for _, c := range report.Cells {
			if c.Class == rollout.ClassNew {
				out.Sent += c.Sent
				out.Answers += c.Answers
				out.Bad += c.Bad
			}
		}
		return out
	}
	// Guards against failures that the counts miss, and against refusals that count as failures.
	DescribeTable("of a call",
		func(respond respondFunc, expected rollout.Counts) {
			r := newVersion("desk", respond)
			r.send(http.MethodPost, "/slip/a")
			Expect(counts(r, "desk")).To(Equal(expected))
		},
		Entry("are bad if the upstream fails", func(w net.Conn, r *http.Request) { signed(w, r, 500, "x") }, rollout.Counts{Sent: 1, Answers: 1, Bad: 1}),
		Entry("are bad if they are broken off", func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nx", r.Header.Get("Id"))
			_ = w.Close()
		}, rollout.Counts{Sent: 1, Answers: 1, Bad: 1}),
		Entry("do not include a signed 503", func(w net.Conn, r *http.Request) { signed(w, r, 503, "x") }, rollout.Counts{Sent: 1}),
	)
	It("of a call do not include one that was not run, which goes to the old version", func() {
		r := newVersion("desk", func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		})
		got := r.send(http.MethodGet, "/look/a")
		Expect(got.body).To(Equal("old"))
		Expect(counts(r, "desk")).To(Equal(rollout.Counts{Sent: 1}))
	})
	events := func(w io.Writer, r *http.Request, n int) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= n; i++ {
			e := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
	}
	DescribeTable("of a generation",
		func(respond respondFunc, expected rollout.Counts) {
			r := newVersion("pool", respond)
			r.send(http.MethodPost, "/digest/a")
			Expect(counts(r, "pool").Bad).To(Equal(expected.Bad))
			Expect(counts(r, "pool").Answers).To(Equal(expected.Answers))
		},
		Entry("are bad if the upstream fails, at each of the two attempts", func(w net.Conn, r *http.Request) { signed(w, r, 500, "x") }, rollout.Counts{Answers: 2, Bad: 2}),
		Entry("are bad if they are broken off after they were judged", func(w net.Conn, r *http.Request) {
			events(w, r, paceEvents+1)
			_ = w.Close()
		}, rollout.Counts{Answers: 2, Bad: 2}),
	)
})
