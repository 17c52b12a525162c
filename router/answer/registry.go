package answer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/router/agent"
	"bilberrylug.dev/router/fleetview"
)

const (
	// idleTimeout is the time without events from the agent after which an attempt is lost.
	idleTimeout = time.Second
	// An attempt is also lost when a token takes longer than tokenGapFactor times the attempt's mean token gap, clamped to
	// the range from minTokenGap to maxTokenGap.
	maxTokenGap    = 2500 * time.Millisecond
	minTokenGap    = time.Second
	tokenGapFactor = 40
	// progressTimeout limits how long an answer without progress looks for an upstream or a witness.
	progressTimeout = 20 * time.Second
	// maxResumes is the number of lost attempts that an answer may replace.
	maxResumes = 16
	// maxDelay is the delay beyond the allowed time per token after which the answer moves to another upstream.
	maxDelay = 500 * time.Millisecond
	// movesPerSecond and moveBurst limit how many answers a router moves away from slow upstreams. Without the limit, a
	// slowdown of the whole fleet would move every answer at once.
	movesPerSecond = 4
	moveBurst      = 16
)

// Options holds the dependencies of a [Registry].
type Options struct {
	Owner       ids.Owner
	View        *fleetview.View
	Agents      *agent.Client
	Clock       clockwork.Clock
	Log         *event.Log
	Metrics     *metric.Registry
	Group       *group.Group
	CallerGrace time.Duration
	// MaxBytes limits the memory reserved for all answers in progress.
	MaxBytes int
}

// Registry holds the answers in progress on this router. It is safe for concurrent use.
type Registry struct {
	opts Options

	mu            sync.Mutex
	answers       map[ids.RequestKey]*Answer
	reservedBytes int
	moveLimiter   *rate.Limiter
}

// NewRegistry returns an empty registry.
func NewRegistry(o Options) *Registry {
	return &Registry{opts: o, answers: make(map[ids.RequestKey]*Answer), moveLimiter: rate.NewLimiter(movesPerSecond, moveBurst)}
}

// Len returns the number of answers in progress.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.answers)
}

// Find returns the answer to a request if it is in progress on this router.
func (r *Registry) Find(key ids.RequestKey) (*Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, found := r.answers[key]
	return a, found
}

// answerBytes returns the memory to reserve for an answer: its prompt and its maximum number of tokens.
func answerBytes(p journal.Prompt) int {
	const bytesPerToken = 24
	return len(p.Text) + int(p.MaxTokens)*bytesPerToken
}

// Start starts or resumes the answer of a journal and attaches the caller. For a new request that is already in progress
// on this router, it returns the existing answer. A claimed journal instead replaces an older answer that this router still
// holds, because the caller may have received tokens from another router that the old answer lacks. If Start returns a
// fault of kind memory_limit, no answer was started or replaced.
func (r *Registry) Start(j journal.Journal, witnesses []ids.VM) (*Answer, func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, found := r.answers[j.Key]
	if found && j.Attempt == 0 {
		return old, old.Attach(), nil
	}
	need := answerBytes(j.Prompt)
	if r.reservedBytes+need > r.opts.MaxBytes {
		return nil, nil, fault.New(fault.MemoryLimit, "%d bytes of answers are under way", r.reservedBytes)
	}
	if found {
		old.group.Cancel()
	}
	a := r.newAnswer(j, witnesses)
	r.answers[j.Key] = a
	r.reservedBytes += need
	detach := a.Attach()
	r.opts.Group.Go(func(context.Context) {
		a.run(a.group.Context())
		r.remove(j.Key, a, need)
		a.group.Stop()
	})
	return a, detach, nil
}

func (r *Registry) newAnswer(j journal.Journal, witnesses []ids.VM) *Answer {
	o := r.opts
	a := &Answer{
		key: j.Key, prompt: j.Prompt, bodyHash: j.BodyHash, agents: o.Agents, clock: o.Clock, log: o.Log, metrics: o.Metrics,
		events: make(chan generation.Event, eventBuffer), group: o.Group.Child(o.Group.Context()), changed: make(chan struct{}),
	}
	a.machine = generation.New(generation.Options{
		Journal: j, Owner: o.Owner, Witnesses: witnesses, MaxResumes: maxResumes,
		MoreWitnesses:    func() []ids.VM { return o.View.Witnesses(j.Key, true) },
		ExpectedTokenGap: o.View.MedianCadence(j.Prompt.Service, j.Prompt.Model), MayMove: r.allowMove,
		Timeouts: generation.Timeouts{
			MaxIdle: idleTimeout, MaxTokenGap: maxTokenGap, MinTokenGap: minTokenGap, GapFactor: tokenGapFactor,
			CallerGrace: o.CallerGrace, NoProgress: progressTimeout, MaxDelay: maxDelay,
		},
	})
	return a
}

// remove deletes an answer that has ended, unless another one has replaced it, and releases its reserved memory.
func (r *Registry) remove(key ids.RequestKey, a *Answer, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers[key] == a {
		delete(r.answers, key)
	}
	r.reservedBytes -= bytes
}

// Owner returns the identity under which this router claims journals.
func (r *Registry) Owner() ids.Owner { return r.opts.Owner }

// allowMove reports whether the rate limit permits another move, and counts the move if so.
func (r *Registry) allowMove() bool {
	if !r.moveLimiter.AllowN(r.opts.Clock.Now(), 1) {
		return false
	}
	r.opts.Metrics.Counter("moves").Inc(1)
	return true
}
