package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/testkit"
	"bilberrylug.dev/ctl/command"
)

func TestCommand(t *testing.T) { testkit.Run(t, "command") }

// explainServer is a router that answers each question with a status and a body.
type explainServer struct {
	address string
	asked   []explain.Query
}

func newExplainServer(status int, body any) *explainServer {
	s := &explainServer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer GinkgoRecover()
		Expect(r.Method + " " + r.URL.Path).To(Equal("POST /explain"))
		q, err := explain.ReadQuery(r.Body)
		Expect(err).NotTo(HaveOccurred())
		s.asked = append(s.asked, q)
		w.WriteHeader(status)
		Expect(json.NewEncoder(w).Encode(body)).To(Succeed())
	}))
	DeferCleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// run runs the command and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	err := command.New(&out).Run(context.Background(), append([]string{"bilberrylug"}, args...))
	return out.String(), err
}

func cost(v float64) *float64 { return &v }

// report is an answer on a generation for which there are a free, a busy and a lost engine.
func report() explain.Report {
	yes, no := true, false
	return explain.Report{
		Router: "entry-1", ConfigVersion: 7, Route: "digest", Kind: "streaming", Service: "pool", Workspace: "growers", Rank: 2,
		Outcome: explain.Sent, Choice: "free", CostUnit: "ms", Upstreams: []explain.Upstream{
			{
				ID: "free", FailureDomain: "north", State: fleet.Available, Weighed: true, Chosen: true, Chance: 1, Cost: cost(250.5),
				FirstEventMS: cost(240), Fits: &yes, Slowness: 1, Others: explain.Reports{Work: explain.Work{Running: 3, PendingPromptTokens: 500, MemoryTokens: 900}, Routers: 2, OldestAgeMS: 120},
			},
			{ID: "busy", FailureDomain: "south", State: fleet.Available, Weighed: true, Cost: cost(990), FirstEventMS: cost(900), Fits: &no, Slowness: 2},
			{ID: "gone", FailureDomain: "south", State: fleet.Lost, Reason: "this router found it unreachable", StateAgeMS: 1500, Slowness: 1},
		},
	}
}

var _ = Describe("bilberrylug explain", func() {
	It("sends the question and prints the choice first", func() {
		s := newExplainServer(http.StatusOK, report())
		out, err := run("explain", "--host", "h", "--path", "/digest/a", "--key", "secret", "--method", "POST", "--prompt-tokens", "500",
			"--output-tokens", "90", "--model", "m", "--part", "a", "--part", "b", "--max-wait", "2s", s.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.asked).To(Equal([]explain.Query{{Key: "secret", Request: explain.Request{
			Host: "h", Path: "/digest/a", Method: "POST", Model: "m", PromptTokens: 500, OutputTokens: 90, Parts: []string{"a", "b"}, MaxWaitMS: 2000,
		}}}))
		Expect(out).To(ContainSubstring("sent to free"))
		Expect(out).NotTo(ContainSubstring("secret"))
		lines := strings.Split(strings.TrimSpace(out), "\n")
		rows := lines[len(lines)-3:]
		Expect(strings.Fields(rows[0])).To(Equal(strings.Fields("* free north available 100% 250.50 240.00 yes 0/0/0 3/500/900 2/120ms 1.00 -")))
		Expect(rows[1]).To(MatchRegexp(`^ +busy .* 990\.00 .* no `))
		Expect(rows[2]).To(MatchRegexp(`^ +gone .* lost .*this router found it unreachable \(1\.5s ago\)`))
	})
	// Guards against a table and a JSON output that tell different things.
	It("prints the answer as the JSON of the same type", func() {
		s := newExplainServer(http.StatusOK, report())
		for _, args := range [][]string{
			{"explain", "--host", "h", "--path", "/a", "--json", s.address}, {"--output", "json", "explain", "--host", "h", "--path", "/a", s.address},
		} {
			out, err := run(args...)
			Expect(err).NotTo(HaveOccurred())
			var got explain.Report
			Expect(json.Unmarshal([]byte(out), &got)).To(Succeed())
			Expect(got).To(Equal(report()))
			Expect(out).To(ContainSubstring(`"pending_prompt_tokens": 500`))
		}
	})
	It("prints calls with the load that upstreams report", func() {
		r := explain.Report{
			Router: "entry-1", Route: "look", Outcome: explain.Waiting, Choice: "a", WaitMS: 40, WaitReason: "for a concurrency slot", CostUnit: "calls",
			Limiter: &explain.Limiter{Limit: 1.5, Running: 2, Waiting: 3, MeanCallTimeMS: 50}, Upstreams: []explain.Upstream{{
				ID: "a", Chosen: true, Cost: cost(1.25), Own: explain.Work{Calls: 2}, Reported: &explain.Load{Busy: 4, Slowness: 1.5, AgeMS: 80},
				Limit: explain.Limit{PerSecond: 8, OwnPerSecond: 2, DelayMS: 300},
			}},
		}
		out, err := run("explain", "--host", "h", "--path", "/a", newExplainServer(http.StatusOK, r).address)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("sent to a, after a wait of about 40ms for a concurrency slot"))
		Expect(out).To(ContainSubstring("concurrency limit 1.5: 2 running, 3 waiting, mean call time 50ms"))
		Expect(out).To(ContainSubstring("4 x1.50 (80ms ago)"))
		Expect(out).To(ContainSubstring("2.00/s of 8.00/s, in 300ms"))
	})
	It("prints a refusal with its number and Retry-After", func() {
		f := fault.New(fault.NoUpstream, "service pool")
		r := explain.Report{Router: "entry-1", Outcome: explain.Refused, Fault: explain.NewFault(f, 2*f.Kind.RetryAfter)}
		out, err := run("explain", "--host", "h", "--path", "/a", newExplainServer(http.StatusOK, r).address)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("refused with BL1105, status 503, Retry-After 2s to 4s"))
	})
	DescribeTable("refuses bad input with a typed fault and asks nobody", func(args ...string) {
		_, err := run(append([]string{"explain"}, args...)...)
		Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
		Expect(command.ExitCode(err)).To(Equal(command.ExitInvalid))
	},
		Entry("no router", "--host", "h", "--path", "/a"),
		Entry("two routers", "--host", "h", "--path", "/a", "127.0.0.1:1", "127.0.0.1:2"),
		Entry("router without a port", "--host", "h", "--path", "/a", "entry-1"),
		Entry("no host", "--path", "/a", "127.0.0.1:1"),
		Entry("relative path", "--host", "h", "--path", "a", "127.0.0.1:1"),
		Entry("negative tokens", "--host", "h", "--path", "/a", "--prompt-tokens", "-1", "127.0.0.1:1"),
	)
	It("returns the fault of the router, and a typed one for an answer that is none", func() {
		s := newExplainServer(http.StatusBadRequest, explain.NewFault(fault.New(fault.BadRequest, "the route look has no service x"), 0))
		_, err := run("explain", "--host", "h", "--path", "/a", "--service", "x", s.address)
		Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
		Expect(err).To(MatchError(ContainSubstring("has no service x")))
		_, err = run("explain", "--host", "h", "--path", "/a", newExplainServer(http.StatusNotFound, "page").address)
		Expect(fault.CodeOf(err)).To(Equal(fault.ReplyInvalid))
		_, err = run("explain", "--host", "h", "--path", "/a", newExplainServer(http.StatusOK, "page").address)
		Expect(fault.CodeOf(err)).To(Equal(fault.ReplyInvalid))
	})
})
