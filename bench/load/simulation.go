package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/choice"
	"bilberrylug.dev/core/ids"
)

const (
	placementTries = 4
	maxWaiting     = 64
	reservedShort  = 0.25
	retryPause     = 50 * time.Millisecond
	reportEvery    = 200 * time.Millisecond
	cacheEntries   = 24
	cachedPrefill  = 4
	cadenceWeight  = 16
	moveAllowance  = 3
	maxPreemptions = 2
	moveDebt       = 500 * time.Millisecond
	// crowding is the share by which a full batch slows each of its streams.
	crowding = 0.5
)

// job is one request on its way.
type job struct {
	router    int
	workspace int
	tokens    int
	class     queue.Class
	prefix    string
	arrived   time.Time
	deadline  time.Time
	upstream  *upstream
	item      *queue.Item
	first     time.Time
	tried     []ids.VM
	left      int
	started   bool
	runs      int
	preempted int
}

// upstream is a simulated engine behind the real queue of its agent.
type upstream struct {
	vm      ids.VM
	queue   *queue.Queue
	slow    bool
	running int
	cadence time.Duration
	tokenAt time.Time
	waiting []*job
	jobs    []*job
	cache   []string
	hits    int
	misses  int
}

type timed struct {
	at  time.Time
	seq int
	run func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any) {
	if t, ok := x.(timed); ok {
		*a = append(*a, t)
	}
}

func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simulation is one run.
type simulation struct {
	deployment Deployment
	shape      Shape
	policy     Policy
	start      time.Time
	now        time.Time
	agenda     agenda
	seq        int
	rng        *rand.Rand
	choosers   []*chooser
	upstreams  map[ids.VM]*upstream
	order      []ids.VM
	result     *Result
}

// Run drives a shape through a deployment under a policy, with a fixed seed.
func Run(d Deployment, s Shape, p Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	sim := &simulation{
		deployment: d, shape: s, policy: p, start: start, now: start, rng: rand.New(rand.NewPCG(seed, 2)),
		upstreams: make(map[ids.VM]*upstream), result: &Result{Deployment: d.Name, Shape: s.Name, Policy: p},
	}
	sim.build(seed)
	sim.schedule(0, sim.arrive)
	sim.schedule(0, sim.report)
	for len(sim.agenda) > 0 {
		next, _ := heap.Pop(&sim.agenda).(timed)
		sim.now = next.at
		next.run()
	}
	for _, u := range sim.upstreams {
		sim.result.CacheHits += u.hits
		sim.result.CacheMisses += u.misses
	}
	sim.result.finish()
	return sim.result
}

func (s *simulation) build(seed uint64) {
	reserve := reservedShort
	if s.policy != Predicted && s.policy != NoAffinity {
		reserve = 0
	}
	for i := range s.deployment.Upstreams {
		vm := ids.VM(fmt.Sprintf("upstream-%d", i))
		s.order = append(s.order, vm)
		s.upstreams[vm] = &upstream{
			vm: vm, slow: i < s.shape.SlowUpstreams,
			queue: queue.New(queue.Limits{Slots: s.deployment.Slots, MaxWaiting: maxWaiting, ReservedShort: reserve}),
		}
	}
	for i := range s.deployment.Routers {
		s.choosers = append(s.choosers, newChooser(s.policy, s.order, seed+uint64(i)))
	}
}

func (s *simulation) schedule(in time.Duration, run func()) {
	s.seq++
	heap.Push(&s.agenda, timed{s.now.Add(in), s.seq, run})
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

// arrive draws the next request and the time of the one after it.
func (s *simulation) arrive() {
	if s.elapsed() > s.shape.Span {
		return
	}
	rate := s.shape.Base
	if s.elapsed() >= s.shape.PeakFrom && s.elapsed() < s.shape.PeakTo {
		rate = s.shape.Peak
	}
	s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.place(s.draw())
}

func (s *simulation) draw() *job {
	j := &job{
		router: s.rng.IntN(s.deployment.Routers), workspace: s.rng.IntN(s.shape.Workspaces), tokens: s.shape.ShortTokens,
		arrived: s.now, deadline: s.now.Add(s.shape.Deadline),
	}
	kind := s.rng.Float64()
	if kind < s.shape.LongShare {
		j.tokens, j.class = s.shape.LongTokens, queue.Long
	} else if kind < s.shape.LongShare+s.shape.StragglerShare {
		j.tokens, j.class = s.shape.StragglerTokens, queue.Long
	}
	if s.shape.Prompts > 0 {
		j.prefix = fmt.Sprintf("prompt-%d", s.rng.IntN(s.shape.Prompts))
	}
	j.left = j.tokens
	s.result.Requests++
	return j
}

func (s *simulation) place(j *job) {
	vm, ok := s.choosers[j.router].pick(s.now, uint64(j.tokens), j.prefix, j.tried)
	if !ok || len(j.tried) >= placementTries {
		s.refuse(j)
		return
	}
	j.tried = append(j.tried, vm)
	s.schedule(2*s.deployment.OneWay, func() { s.enqueue(j, s.upstreams[vm]) })
}

// refuse ends a new request; one that has run already looks on for a place.
func (s *simulation) refuse(j *job) {
	if j.runs == 0 {
		s.result.Refused++
		return
	}
	j.tried = nil
	s.schedule(retryPause, func() { s.place(j) })
}

func (s *simulation) enqueue(j *job, u *upstream) {
	class := j.class
	if s.policy == RoundRobin || s.policy == LeastOutstanding || s.policy == NoReserve {
		class = queue.Short
	}
	workspace := ids.Workspace(fmt.Sprint(j.workspace))
	if class != j.class {
		workspace = "all"
	}
	item, err := u.queue.Add(queue.Item{
		Workspace: workspace, Class: class, Tokens: uint64(j.left), Deadline: j.deadline, Resumed: j.runs > 0,
		Preemptible: s.policy == Predicted && j.preempted < maxPreemptions,
	})
	if err != nil {
		s.choosers[j.router].ended(u.vm)
		s.place(j)
		return
	}
	j.item, j.upstream = item, u
	u.waiting = append(u.waiting, j)
	s.schedule(j.deadline.Sub(s.now), func() { s.expire(j) })
	s.startWaiting(u)
	s.preempt(u)
}

// preempt ends the runs that have to give their slots to short work, and places their rest anew.
func (s *simulation) preempt(u *upstream) {
	for _, j := range slices.Clone(u.jobs) {
		select {
		case <-j.item.Preempted():
			j.preempted++
			s.result.Preempted++
			s.leave(j)
			j.tried = nil
			s.place(j)
		default:
		}
	}
}

// leave ends a run that is continued elsewhere.
func (s *simulation) leave(j *job) {
	u := j.upstream
	u.jobs = slices.DeleteFunc(u.jobs, func(one *job) bool { return one == j })
	u.running--
	u.queue.Done(j.item)
	s.choosers[j.router].ended(u.vm)
	j.started = false
	j.runs++
	j.deadline = s.now.Add(s.shape.Span)
	s.startWaiting(u)
}

// expire refuses a job that has not started by its deadline.
func (s *simulation) expire(j *job) {
	if j.started || j.runs > 0 {
		return
	}
	u := j.upstream
	u.queue.Done(j.item)
	u.waiting = slices.DeleteFunc(u.waiting, func(one *job) bool { return one == j })
	s.choosers[j.router].ended(u.vm)
	s.result.Refused++
	s.startWaiting(u)
}

// startWaiting begins the jobs whose items have got their slots.
func (s *simulation) startWaiting(u *upstream) {
	u.waiting = slices.DeleteFunc(u.waiting, func(j *job) bool {
		select {
		case <-j.item.Started():
			j.started = true
			u.running++
			u.jobs = append(u.jobs, j)
			run := j.runs
			s.schedule(s.prefill(u, j), func() { s.token(j, run) })
			return true
		default:
			return false
		}
	})
}

func (s *simulation) prefill(u *upstream, j *job) time.Duration {
	span := s.slowed(u, s.deployment.Prefill)
	if j.prefix == "" {
		return span
	}
	at := slices.Index(u.cache, j.prefix)
	if at >= 0 {
		u.hits++
		u.cache = append(slices.Delete(u.cache, at, at+1), j.prefix)
		return span / cachedPrefill
	}
	u.misses++
	u.cache = append(u.cache, j.prefix)
	if len(u.cache) > cacheEntries {
		u.cache = u.cache[1:]
	}
	return span
}

func (s *simulation) slowed(u *upstream, span time.Duration) time.Duration {
	if u.slow && s.elapsed() >= s.shape.SlowFrom && s.elapsed() < s.shape.SlowTo {
		return time.Duration(float64(span) * s.shape.SlowFactor)
	}
	return span
}

// stepTokens is the number of tokens that one event of the simulation stands for.
const stepTokens = 10

// token gives the next tokens of a job, or ends it.
func (s *simulation) token(j *job, run int) {
	if j.runs != run {
		return
	}
	u := j.upstream
	if j.first.IsZero() {
		j.first = s.now
		s.result.noteFirst(j, s.now.Sub(j.arrived))
	}
	if j.left <= 0 {
		s.end(j)
		return
	}
	step := min(stepTokens, j.left)
	j.left -= step
	crowd := 1 + crowding*float64(min(u.running, s.deployment.Slots))/float64(s.deployment.Slots)
	gap := s.slowed(u, time.Duration(float64(s.deployment.Cadence)*crowd))
	if u.cadence == 0 {
		u.cadence = gap
	}
	for range step {
		u.cadence += (gap - u.cadence) / cadenceWeight
	}
	u.tokenAt = s.now
	if s.moves(gap) {
		s.move(j, run, gap)
		return
	}
	s.result.noteGap(gap, step)
	s.schedule(gap*time.Duration(step), func() { s.token(j, run) })
}

// moves tells whether an answer at this pace is moved elsewhere, as package generation decides it.
func (s *simulation) moves(gap time.Duration) bool {
	return s.policy == Predicted && gap > moveAllowance*s.deployment.Cadence
}

// move takes an answer away from a slow upstream when its debt is reached: it keeps the tokens that came meanwhile and
// pays for the prefill at the next one.
func (s *simulation) move(j *job, run int, gap time.Duration) {
	allowed := moveAllowance * s.deployment.Cadence
	debtReached := time.Duration(float64(moveDebt) * float64(gap) / float64(gap-allowed))
	j.left = max(0, j.left+stepTokens-int(debtReached/gap))
	s.result.Moved++
	s.schedule(debtReached, func() {
		if j.runs != run {
			return
		}
		s.leave(j)
		j.tried = []ids.VM{j.upstream.vm}
		s.place(j)
	})
}

func (s *simulation) end(j *job) {
	u := j.upstream
	u.jobs = slices.DeleteFunc(u.jobs, func(one *job) bool { return one == j })
	u.running--
	u.queue.Done(j.item)
	s.choosers[j.router].ended(u.vm)
	s.result.noteEnd(j, s.now.Sub(j.arrived))
	s.choosers[j.router].picker.Report(s.now, u.vm, s.load(u))
	s.startWaiting(u)
}

func (s *simulation) load(u *upstream) choice.Load {
	st := u.queue.State()
	return choice.Load{
		Running: st.Running, Queued: st.Waiting, QueuedTokens: st.Tokens, Slots: st.Slots,
		Cadence: choice.FadedCadence(u.cadence, s.now.Sub(u.tokenAt)),
	}
}

// report brings each router what the streams from each upstream carry.
func (s *simulation) report() {
	if s.elapsed() > s.shape.Span {
		return
	}
	for _, vm := range s.order {
		for _, c := range s.choosers {
			c.picker.Report(s.now, vm, s.load(s.upstreams[vm]))
		}
	}
	s.schedule(reportEvery, s.report)
}
