package router

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// cadenceWeight is the share of a new sample in the running mean of the time between tokens, as a divisor.
const cadenceWeight = 16

// State is what all calls of the agent share. It is safe for concurrent use.
type State struct {
	clock  clockwork.Clock
	config *activeconfig.Holder

	mu       sync.Mutex
	queue    *queue.Queue
	table    *membership.Table
	cadence  time.Duration
	tokenAt  time.Time
	models   []ids.Model
	active   int
	runs     map[ids.Model]int
	stopping bool
	leaveNow bool
}

// NewState returns the state of an agent that presents itself as self.
func NewState(self membership.Member, config *activeconfig.Holder, clock clockwork.Clock) *State {
	return &State{
		clock: clock, config: config, runs: make(map[ids.Model]int), table: membership.NewTable(self, tableTimeouts),
		queue: queue.New(queue.Limits{Slots: declared.DefaultSlotsPerUpstream, MaxWaiting: declared.DefaultQueuePerUpstream}),
	}
}

// tableTimeouts are those of an agent, which judges nobody.
var tableTimeouts = membership.Timeouts{SuspectAfter: time.Minute, RemoveAfter: 10 * time.Minute}

// Service returns the declaration of the agent's service.
func (s *State) Service() (declared.Service, error) {
	current := s.config.Current()
	if current == nil {
		return declared.Service{}, fault.New(fault.NotReady, "no configuration yet")
	}
	svc, known := current.Services[s.Self().Service]
	if !known {
		return svc, fault.New(fault.NotReady, "service %s is not declared", s.Self().Service)
	}
	return svc, nil
}

// Self returns the agent as it presents itself.
func (s *State) Self() membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// ApplyConfig takes the limits of a new configuration, and follows its list of drained VMs.
func (s *State) ApplyConfig() {
	svc, err := s.Service()
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetLimits(queue.Limits{
		Slots: svc.SlotsPerUpstream, MaxWaiting: svc.QueuePerUpstream, ReservedShortShare: svc.ReservedShortShare,
	})
	s.updateLeaving()
}

// updateLeaving derives the state from its three causes: a planned stop, the declared drain, the platform's list.
func (s *State) updateLeaving() {
	current := s.config.Current()
	drained := current != nil && current.Drained[s.table.Self().VM]
	state := membership.Live
	if s.stopping || drained || s.leaveNow {
		state = membership.Leaving
	}
	if s.table.Self().State != state {
		s.table.UpdateSelf(s.clock.Now(), func(m *membership.Member) { m.State = state })
	}
}

// Leave makes the agent refuse new work for good, on a planned stop.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.updateLeaving()
}

// adoptLeaving keeps the word of the platform's list, which a router has passed on, over later changes of the
// configuration. The lock is held.
func (s *State) adoptLeaving() {
	if s.table.Self().State == membership.Leaving && !s.stopping {
		current := s.config.Current()
		s.leaveNow = current == nil || !current.Drained[s.table.Self().VM]
	}
}

// Leaving tells whether new work is refused.
func (s *State) Leaving() bool { return s.Self().State >= membership.Leaving }

// SetModels notes what the upstream holds.
func (s *State) SetModels(models []ids.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.models, models) {
		return
	}
	s.models = models
	s.table.UpdateSelf(s.clock.Now(), func(m *membership.Member) { m.Models = models })
}

// Load returns the load as the agent itself knows it, without the upstream's late report.
func (s *State) Load() balancer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.queue.State()
	cadence := balancer.DecayedCadence(s.cadence, s.clock.Since(s.tokenAt))
	return balancer.Load{
		Running: st.Running, Queued: st.Waiting, QueuedTokens: st.Tokens, Slots: st.Slots, Cadence: cadence,
	}
}

func (s *State) noteCadence(sample time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokenAt = s.clock.Now()
	if s.cadence == 0 {
		s.cadence = sample
	}
	s.cadence += (sample - s.cadence) / cadenceWeight
}

// begin counts a piece of work that a planned stop has to wait for. It fails when the agent is leaving, so that no work
// begins after the count was found to be zero.
func (s *State) begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Self().State >= membership.Leaving {
		return fault.New(fault.UpstreamLeaving, "%s", s.table.Self().VM)
	}
	s.active++
	return nil
}

func (s *State) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// Active returns the number of pieces of work under way.
func (s *State) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// admit checks what every piece of work is checked for: the configuration in force and the sender's revision.
func (s *State) admit(senderRevision uint64) (declared.Service, error) {
	svc, err := s.Service()
	if err != nil {
		return svc, err
	}
	if need := s.config.Current().Head.ServicesRevision; ids.Revision(senderRevision) < need {
		return svc, fault.New(fault.StaleRevision, "sender has %d, services changed in %d", senderRevision, need)
	}
	return svc, nil
}

// countRun counts the runs of a model version, which is not unloaded under them.
func (s *State) countRun(m ids.Model, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[m] += n
}

func (s *State) inUse(m ids.Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[m] > 0
}
