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
	silence     = time.Second
	tokenGap    = 2500 * time.Millisecond
	minTokenGap = time.Second
	gapFactor   = 40
	noProgress  = 20 * time.Second
	maxResumes  = 16
	slowDebt    = 500 * time.Millisecond
	// movesPerSecond and moveBurst bound the answers that a router moves away from slow upstreams, so that a general
	// slowness does not become a storm of moves.
	movesPerSecond = 4
	moveBurst      = 16
)

// Options are the dependencies of a registry.
type Options struct {
	Owner       ids.Owner
	View        *fleetview.View
	Agents      *agent.Client
	Clock       clockwork.Clock
	Log         *event.Log
	Metrics     *metric.Registry
	Group       *group.Group
	CallerGrace time.Duration
	// MaxBytes bounds the texts of all answers under way.
	MaxBytes int
}

// Registry holds the answers under way on this router. It is safe for concurrent use.
type Registry struct {
	opts Options

	mu      sync.Mutex
	answers map[ids.RequestKey]*Answer
	bytes   int
	moves   *rate.Limiter
}

// NewRegistry returns an empty registry.
func NewRegistry(o Options) *Registry {
	return &Registry{opts: o, answers: make(map[ids.RequestKey]*Answer), moves: rate.NewLimiter(movesPerSecond, moveBurst)}
}

// Len returns the number of answers under way.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.answers)
}

// Find returns the answer to a request if it is under way here.
func (r *Registry) Find(key ids.RequestKey) (*Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, found := r.answers[key]
	return a, found
}

// answerBytes is the memory reserved for an answer: its prompt, and the tokens that it may have.
func answerBytes(p journal.Prompt) int {
	const bytesPerToken = 24
	return len(p.Text) + int(p.MaxTokens)*bytesPerToken
}

// Start begins or continues the answer of a journal and attaches the caller. When a new request has been started here
// meanwhile, that answer is returned. A claimed journal replaces an answer that this router still holds from before: the
// caller may have seen tokens elsewhere that the old answer does not have. A fault of kind memory_limit means that nothing
// was begun.
func (r *Registry) Start(j journal.Journal, witnesses []ids.VM) (*Answer, func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, found := r.answers[j.Key]
	if found && j.Attempt == 0 {
		return old, old.Attach(), nil
	}
	if found {
		old.group.Cancel()
	}
	need := answerBytes(j.Prompt)
	if r.bytes+need > r.opts.MaxBytes {
		return nil, nil, fault.New(fault.MemoryLimit, "%d bytes of answers are under way", r.bytes)
	}
	a := r.build(j, witnesses)
	r.answers[j.Key] = a
	r.bytes += need
	detach := a.Attach()
	r.opts.Group.Go(func(context.Context) {
		a.run(a.group.Context())
		r.remove(j.Key, a, need)
		a.group.Stop()
	})
	return a, detach, nil
}

func (r *Registry) build(j journal.Journal, witnesses []ids.VM) *Answer {
	o := r.opts
	a := &Answer{
		key: j.Key, prompt: j.Prompt, body: j.BodyHash, links: o.Agents, clock: o.Clock, log: o.Log, metrics: o.Metrics,
		events: make(chan generation.Event, eventBuffer), group: group.New(o.Group.Context()), changed: make(chan struct{}),
	}
	a.machine = generation.New(generation.Options{
		Journal: j, Owner: o.Owner, Witnesses: witnesses, MaxResumes: maxResumes,
		MoreWitnesses:    func() []ids.VM { return o.View.Witnesses(j.Key, true) },
		ExpectedTokenGap: o.View.MedianCadence(j.Prompt.Service, j.Prompt.Model), MayMove: r.mayMove,
		Timeouts: generation.Timeouts{
			MaxIdle: silence, MaxTokenGap: tokenGap, MinTokenGap: minTokenGap, GapFactor: gapFactor,
			CallerGrace: o.CallerGrace, NoProgress: noProgress, MaxDelay: slowDebt,
		},
	})
	return a
}

// remove forgets an answer that has ended, unless another one has taken its place.
func (r *Registry) remove(key ids.RequestKey, a *Answer, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers[key] == a {
		delete(r.answers, key)
	}
	r.bytes -= bytes
}

// Owner returns the identity under which this router holds answers.
func (r *Registry) Owner() ids.Owner { return r.opts.Owner }

func (r *Registry) mayMove() bool {
	if !r.moves.AllowN(r.opts.Clock.Now(), 1) {
		return false
	}
	r.opts.Metrics.Counter("moves").Inc(1)
	return true
}
