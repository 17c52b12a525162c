// Package slopes_test measures how the cost of a router's and an agent's operations grows with the number of members,
// workspaces, tokens or entries.
//
// # Usage
//
//	go test -bench . ./bench/slopes
package slopes_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/admission"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/ledger"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// service is the model service of all members in the benchmarks.
const service = "lug-pool"

var start = time.Unix(0, 0)

// member returns the agent with number i.
func member(i int) membership.Member {
	return membership.Member{
		VM: ids.VM(fmt.Sprintf("upstream-%04d", i)), Role: membership.Agent, Address: "10.20.30.40:9200", Region: "uttarbanga",
		FailureDomain: "teesta-ghat", Service: service, Incarnation: 1796358000000000000,
		Models: []ids.Model{{Name: "lug-7b", Version: "2026-10"}},
	}
}

// wireBytes returns the encoded size of a message.
func wireBytes(m proto.Message) int { return proto.Size(m) }

// BenchmarkHeartbeat measures the handling of one heartbeat by a router, by number of members.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{27, 300, 3580} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := membership.NewTable(member(0), membership.Timeouts{SuspectAfter: 3 * time.Second, RemoveAfter: time.Minute})
			for i := range n {
				t.Merge(start, []membership.Member{member(i)})
			}
			heartbeat := &wire.ExchangeRequest{
				Header: &wire.Header{Sender: "upstream-0001", Revision: 1000}, Role: "agent",
				Load:       &wire.Load{Running: 8, QueuedTokens: 1000, Slots: 16, CadenceUs: 30000},
				KnownEpoch: 1796358000000000000, KnownVersion: 5000,
			}
			body, _ := proto.Marshal(heartbeat)
			b.ReportAllocs()
			for b.Loop() {
				var r wire.ExchangeRequest
				if err := proto.Unmarshal(body, &r); err != nil {
					b.Fatal(err)
				}
				t.Merge(start, wireconv.Map(r.GetMembers(), wireconv.MemberFromWire))
				t.RecordContact(start, "upstream-0001", 1000)
			}
			b.ReportMetric(float64(len(body)), "request_B")
		})
	}
}

// BenchmarkFailureDetection measures one check for members without recent contact, by number of members.
func BenchmarkFailureDetection(b *testing.B) {
	for _, n := range []int{27, 300, 3580} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := membership.NewTable(member(0), membership.Timeouts{SuspectAfter: 3 * time.Second, RemoveAfter: time.Minute})
			for i := range n {
				t.Merge(start, []membership.Member{member(i)})
			}
			for b.Loop() {
				t.DetectFailures(start, func(ids.VM) bool { return true })
			}
		})
	}
}

// BenchmarkExchangeIdle measures a router's search for changes that a peer lacks, when there are none.
func BenchmarkExchangeIdle(b *testing.B) {
	for _, n := range []int{27, 300, 3580} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := membership.NewTable(member(0), membership.Timeouts{})
			for i := range n {
				t.Merge(start, []membership.Member{member(i)})
			}
			_, version := t.Unacknowledged("peer")
			t.Acknowledge("peer", version)
			for b.Loop() {
				t.Unacknowledged("peer")
			}
		})
	}
}

// BenchmarkExchangeNews measures a router's search for changes that a peer lacks, when one member has changed.
func BenchmarkExchangeNews(b *testing.B) {
	for _, n := range []int{27, 300, 3580} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := membership.NewTable(member(0), membership.Timeouts{})
			for i := range n {
				t.Merge(start, []membership.Member{member(i)})
			}
			_, version := t.Unacknowledged("peer")
			t.Acknowledge("peer", version-1)
			changes, _ := t.Unacknowledged("peer")
			for b.Loop() {
				t.Unacknowledged("peer")
			}
			b.ReportMetric(float64(wireBytes(&wire.ExchangeRequest{Members: wireconv.Map(changes, wireconv.MemberToWire)})), "news_B")
		})
	}
}

// BenchmarkWitnesses measures the selection of the witnesses of one request, by number of candidates.
func BenchmarkWitnesses(b *testing.B) {
	for _, n := range []int{27, 300, 3100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var vms []ids.VM
			for i := range n {
				vms = append(vms, member(i).VM)
			}
			for b.Loop() {
				rendezvous.Top("growers/4f1c0a", vms, 6)
			}
		})
	}
}

// BenchmarkToken measures one token in the state machine of its answer and the journal store of its witness, and the bytes
// sent to the witness when each entry contains the given number of tokens.
func BenchmarkToken(b *testing.B) {
	for _, batch := range []int{1, 8} {
		b.Run(fmt.Sprintf("batch_%d", batch), func(b *testing.B) {
			tokens := make([]string, batch)
			for i := range tokens {
				tokens[i] = " token"
			}
			store := journal.NewStore(journal.Limits{MaxBytes: 1 << 40, RetentionUnfinished: time.Hour, RetentionFinished: time.Hour})
			now := start
			var m *generation.Machine
			var at uint32
			reset := func() {
				store.Expire(now.Add(2 * time.Hour))
				m = generation.New(generation.Options{
					Journal: journal.Journal{Key: ids.RequestKey{Workspace: "growers", Request: "4f1c0a"}}, Owner: "r", Witnesses: []ids.VM{"w"},
					Timeouts: generation.Timeouts{MaxIdle: time.Second, MaxTokenGap: time.Second, MinTokenGap: time.Second, GapFactor: 40},
				})
				at = 0
				deliverAppends(m, store, now, m.Start(now))
			}
			reset()
			b.ReportAllocs()
			for b.Loop() {
				if at > 1000 {
					reset()
				}
				deliverAppends(m, store, now, m.Handle(now, generation.TokensArrived{Attempt: 1, First: at, Tokens: tokens}))
				at += uint32(batch)
			}
			entry := journal.Entry{Key: ids.RequestKey{Workspace: "growers", Request: "4f1c0a4f1c0a4f1c0a4f1c0a"}, Attempt: 1, Owner: "entry-001/18edc", First: 500, Tokens: tokens}
			b.ReportMetric(float64(wireBytes(wireconv.EntryToWire(entry)))/float64(batch), "witness_B/token")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(batch), "ns/token")
		})
	}
}

// deliverAppends applies the machine's appends to the witness's store and passes the replies back, until the machine sends no
// more appends.
func deliverAppends(m *generation.Machine, store *journal.Store, now time.Time, cmds []generation.Command) {
	for len(cmds) > 0 {
		var next []generation.Command
		for _, c := range cmds {
			if a, ok := c.(generation.Append); ok {
				length, refusal := store.Append(now, a.Entry)
				next = append(next, m.Handle(now, generation.WitnessAnswered{Append: a.Number, Length: length, Refusal: refusal})...)
			}
		}
		cmds = next
	}
}

// BenchmarkGrant measures one grant by the coordinator of a workspace, by number of workspaces.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{10, 1000, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			coordinator := admission.NewCoordinator()
			now := start
			request := &wire.GrantRequest{Header: &wire.Header{Sender: "entry-001", Revision: 1000}, Workspace: "workspace-12345", Want: 4, Running: 3}
			rng := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				now = now.Add(time.Millisecond)
				coordinator.Grant(now, ids.Workspace(fmt.Sprint(rng.IntN(n))), "entry-001", admission.Limit{RequestsPerSecond: 5, MaxRunning: 100}, 4, 3)
			}
			b.ReportMetric(float64(wireBytes(request)), "request_B")
		})
	}
}

// BenchmarkChange measures one change of the configuration, by number of workspaces. It reports the bytes of the head, of the
// largest workspace chunk, an upper bound for the changed one, and of all chunks.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 1000, 19000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := &declared.Config{Services: []declared.Service{{Name: service, Kind: declared.ModelService}}}
			for i := range n {
				name := fmt.Sprintf("workspace-%05d", i)
				cfg.Workspaces = append(cfg.Workspaces, declared.Workspace{
					Name: ids.Workspace(name), KeyHash: declared.HashKey(name), Services: []ids.Service{service}, RequestsPerSecond: 5, MaxRunning: 10,
				})
			}
			set, _ := cfg.Chunks()
			old := (&declared.Head{}).Next(declared.Summary{Operator: "operator", ApplyID: "0123456789abcdef"}, set)
			cfg.Workspaces[0].MaxRunning++
			for b.Loop() {
				set, _ = cfg.Chunks()
			}
			head, _ := json.Marshal(old.Next(declared.Summary{Operator: "operator", ApplyID: "0123456789abcdef"}, set))
			changed := 0
			for _, hash := range set.WorkspaceChunks {
				changed = max(changed, len(set.Bodies[hash]))
			}
			all := 0
			for _, body := range set.Bodies {
				all += len(body)
			}
			b.ReportMetric(float64(len(head)), "head_B")
			b.ReportMetric(float64(changed), "chunk_B")
			b.ReportMetric(float64(all), "all_B")
		})
	}
}

// BenchmarkLedgerWrite measures the copying and encoding of one bucket for a write, by number of entries.
func BenchmarkLedgerWrite(b *testing.B) {
	for _, n := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bucket, _ := ledger.Decode(nil)
			limits := ledger.Limits{MaxEntries: 1 << 20, Retention: time.Hour}
			for i := range n {
				key := ledger.KeyOf("growers", "nilam-desk", fmt.Sprint(i))
				bucket.Begin(start, limits, ledger.Start{Key: key, Call: "0123456789abcdef01234567", BodyHash: 1})
				bucket.Finish(key, "0123456789abcdef01234567", ledger.Reply{Status: 200, ContentType: "application/json", Body: make([]byte, 60)})
			}
			var body []byte
			for b.Loop() {
				body, _ = bucket.Clone().Encode()
			}
			b.ReportMetric(float64(len(body)), "bucket_B")
		})
	}
}
