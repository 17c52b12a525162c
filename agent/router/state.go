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

// cadenceDivisor is the inverse of a new sample's weight in the moving average of the time between tokens.
const cadenceDivisor = 16

// State is the state shared by all RPCs of an agent. It is safe for concurrent use.
type State struct {
	clock  clockwork.Clock
	config *activeconfig.Holder

	mu      sync.Mutex
	queue   *queue.Queue
	members *membership.Table
	// cadence is the moving average of the time between tokens.
	cadence     time.Duration
	lastTokenAt time.Time
	models      []ids.Model
	// active counts the generations and calls in progress, runs the generations by model version.
	active   int
	runs     map[ids.Model]int
	stopping bool
	// platformLeaving is set if the platform lists this VM as leaving.
	platformLeaving bool
}

// NewState returns the state of an agent that reports itself to routers as self.
func NewState(self membership.Member, config *activeconfig.Holder, clock clockwork.Clock) *State {
	return &State{
		clock: clock, config: config, runs: make(map[ids.Model]int), members: membership.NewTable(self, memberTimeouts),
		queue: queue.New(queue.Limits{Slots: declared.DefaultSlotsPerUpstream, MaxWaiting: declared.DefaultQueuePerUpstream}),
	}
}

// memberTimeouts has no effect: an agent never runs failure detection on its member table.
var memberTimeouts = membership.Timeouts{SuspectAfter: time.Minute, RemoveAfter: 10 * time.Minute}

// Service returns the declaration of the agent's service. It returns a fault of kind not_ready if there is none yet.
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

// Self returns the member record that the agent reports of itself.
func (s *State) Self() membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Self()
}

// ApplyConfig applies the queue limits and the list of drained VMs of the active configuration.
func (s *State) ApplyConfig() {
	svc, err := s.Service()
	s.mu.Lock()
	defer s.mu.Unlock()
	// A VM may be drained although its service is not declared, or no longer.
	s.updateLeaving()
	if err != nil {
		return
	}
	s.queue.SetLimits(queue.Limits{
		Slots: svc.SlotsPerUpstream, MaxWaiting: svc.QueuePerUpstream, ReservedShortShare: svc.ReservedShortShare,
	})
}

// updateLeaving sets the member state to leaving if any of the three causes applies: a graceful shutdown, a drain in the
// configuration, or the platform's list of VMs. The caller must hold s.mu.
func (s *State) updateLeaving() {
	current := s.config.Current()
	drained := current != nil && current.Drained[s.members.Self().VM]
	state := membership.Live
	if s.stopping || drained || s.platformLeaving {
		state = membership.Leaving
	}
	if s.members.Self().State != state {
		s.members.UpdateSelf(s.clock.Now(), func(m *membership.Member) { m.State = state })
	}
}

// Leave makes the agent refuse new work permanently. It is called on a graceful shutdown.
func (s *State) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.updateLeaving()
}

// adoptPlatformLeaving remembers that a router has reported this VM as leaving according to the platform's list, so that
// later configuration changes do not revert it. The caller must hold s.mu.
func (s *State) adoptPlatformLeaving() {
	if s.members.Self().State == membership.Leaving && !s.stopping {
		current := s.config.Current()
		s.platformLeaving = current == nil || !current.Drained[s.members.Self().VM]
	}
}

// Leaving reports whether the agent refuses new work.
func (s *State) Leaving() bool { return s.Self().State >= membership.Leaving }

// SetModels records the models that the upstream has loaded.
func (s *State) SetModels(models []ids.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.models, models) {
		return
	}
	s.models = models
	s.members.UpdateSelf(s.clock.Now(), func(m *membership.Member) { m.Models = models })
}

// Load returns the load from the agent's own queue, because the load that the upstream reports lags behind.
func (s *State) Load() balancer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.queue.State()
	cadence := balancer.DecayedCadence(s.cadence, s.clock.Since(s.lastTokenAt))
	return balancer.Load{
		Running: st.Running, Queued: st.Waiting, QueuedTokens: st.Tokens, Slots: st.Slots, Cadence: cadence,
	}
}

// recordTokenInterval adds a sample to the moving average of the time between tokens.
func (s *State) recordTokenInterval(sample time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTokenAt = s.clock.Now()
	if s.cadence == 0 {
		s.cadence = sample
	}
	s.cadence += (sample - s.cadence) / cadenceDivisor
}

// beginWork counts work that a graceful shutdown has to wait for. It fails if the agent is leaving, so that no work
// starts after drain has seen a count of zero.
func (s *State) beginWork() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members.Self().State >= membership.Leaving {
		return fault.New(fault.UpstreamLeaving, "%s", s.members.Self().VM)
	}
	s.active++
	return nil
}

func (s *State) endWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// Active returns the number of generations and calls in progress.
func (s *State) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// admit performs the checks common to all work. It fails if no configuration declares the service, or if the sender's
// revision is older than the last change of the services.
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

// addRuns adds n to the number of runs of a model version. A version in use is not unloaded.
func (s *State) addRuns(m ids.Model, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[m] += n
}

func (s *State) inUse(m ids.Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[m] > 0
}
