package answer_test

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/testkit"
	"bilberrylug.dev/router/agent"
	"bilberrylug.dev/router/answer"
	"bilberrylug.dev/router/fleetview"
)

func TestAnswer(t *testing.T) { testkit.Run(t, "answers") }

var _ = Describe("a registry", func() {
	var r *answer.Registry
	key := ids.RequestKey{Workspace: "growers", Request: "lot-7"}
	BeforeEach(func() {
		g := group.New(GinkgoTB().Context())
		DeferCleanup(g.Stop)
		config, clock, log := activeconfig.New(false), clockwork.NewRealClock(), event.New(io.Discard, slog.LevelError, "t")
		v := fleetview.New(fleetview.Options{Self: membership.Member{VM: "entry-1"}, Config: config, Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))})
		agents := agent.New(agent.Options{View: v, Config: config, Clock: clock, Log: log, Group: g})
		r = answer.NewRegistry(answer.Options{
			Owner: "entry-1", View: v, Agents: agents, Clock: clock, Log: log, Metrics: metric.New(), Group: g, MaxBytes: 100_000,
		})
	})

	It("replaces an answer that it still holds by a claimed one and fails the old one for its callers", func() {
		first, detach, err := r.Start(journal.Journal{Key: key}, []ids.VM{"w1"})
		Expect(err).NotTo(HaveOccurred())
		defer detach()
		second, detachSecond, err := r.Start(journal.Journal{Key: key, Attempt: ids.Attempt(0).NextEpoch()}, []ids.VM{"w1"})
		Expect(err).NotTo(HaveOccurred())
		defer detachSecond()
		Expect(second).NotTo(BeIdenticalTo(first))
		Eventually(func() error { return first.State().Fault }).Should(HaveOccurred())
	})
	It("keeps the answer that it holds if there is no memory for a claimed one", func() {
		first, detach, err := r.Start(journal.Journal{Key: key, Prompt: journal.Prompt{MaxTokens: 3000}}, []ids.VM{"w1"})
		Expect(err).NotTo(HaveOccurred())
		defer detach()
		_, _, err = r.Start(journal.Journal{Key: key, Attempt: ids.Attempt(0).NextEpoch(), Prompt: journal.Prompt{MaxTokens: 3000}}, []ids.VM{"w1"})
		Expect(fault.CodeOf(err)).To(Equal(fault.MemoryLimit))
		Eventually(func() error { return first.State().Fault }).Should(HaveOccurred())
		Expect(fault.CodeOf(first.State().Fault)).To(Equal(fault.NoWitness), "it ends for its own reason, since there are no agents here")
	})
	It("refuses an answer that exceeds the memory limit and starts nothing", func() {
		_, _, err := r.Start(journal.Journal{Key: key, Prompt: journal.Prompt{MaxTokens: 10_000}}, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.MemoryLimit))
		Expect(r.Len()).To(BeZero())
	})
})
