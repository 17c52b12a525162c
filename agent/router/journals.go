package router

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// expireInterval is how often expired journals are dropped.
const expireInterval = 5 * time.Second

// Journals holds the journals for which this agent is the witness. It is safe for concurrent use.
type Journals struct {
	clock   clockwork.Clock
	metrics *metric.Registry

	mu    sync.Mutex
	store *journal.Store
}

// NewJournals returns an empty Journals with the given limits.
func NewJournals(limits journal.Limits, clock clockwork.Clock, metrics *metric.Registry) *Journals {
	return &Journals{clock: clock, metrics: metrics, store: journal.NewStore(limits)}
}

// Run drops expired journals until ctx is done.
func (j *Journals) Run(ctx context.Context) {
	group.Every(ctx, j.clock, expireInterval, j.expire)
}

func (j *Journals) expire() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.store.Expire(j.clock.Now())
	j.metrics.Gauge("journals").Update(int64(j.store.Len()))
	j.metrics.Gauge("journal_bytes").Update(int64(j.store.Bytes()))
}

func (j *Journals) append(entries []*wire.JournalEntry) *wire.JournalReply {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	reply := &wire.JournalReply{Results: make([]*wire.JournalResult, 0, len(entries))}
	for _, e := range entries {
		length, refusal := j.store.Append(now, wireconv.EntryFromWire(e))
		reply.Results = append(reply.Results, &wire.JournalResult{Refusal: string(refusal), Length: length})
	}
	return reply
}

func (j *Journals) claim(r *wire.ClaimRequest) *wire.ClaimReply {
	j.mu.Lock()
	defer j.mu.Unlock()
	found, ok := j.store.Claim(j.clock.Now(), journal.Claim{
		Key:   ids.RequestKey{Workspace: ids.Workspace(r.GetWorkspace()), Request: ids.Request(r.GetRequestId())},
		Owner: ids.Owner(r.GetOwner()), MinLength: r.GetMinLength(),
		Digest: journal.Digest(r.GetDigest()), HasDigest: r.GetHasDigest(), BodyHash: r.GetBodyHash(),
	})
	if !ok {
		return &wire.ClaimReply{}
	}
	return &wire.ClaimReply{
		Found: true, Attempt: uint32(found.Attempt), Prompt: wireconv.PromptToWire(found.Prompt),
		BodyHash: found.BodyHash, Tokens: found.Tokens, FinishReason: found.FinishReason,
	}
}

// Append implements [wire.DRPCAgentServer]. A leaving agent refuses all entries, so that its journals move to another
// witness before it stops.
func (s *Server) Append(_ context.Context, r *wire.JournalRequest) (*wire.JournalReply, error) {
	if s.State.Leaving() {
		return refuseAll(r.GetEntries()), nil
	}
	return s.Journals.append(r.GetEntries()), nil
}

func refuseAll(entries []*wire.JournalEntry) *wire.JournalReply {
	reply := &wire.JournalReply{}
	for range entries {
		reply.Results = append(reply.Results, &wire.JournalResult{Refusal: string(journal.Full)})
	}
	return reply
}

// Claim implements [wire.DRPCAgentServer]. It hands a journal over to a new owner.
func (s *Server) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return s.Journals.claim(r), nil
}
