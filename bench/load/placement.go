package load

import (
	"fmt"
	"slices"
	"time"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/ids"
)

// arrive places a new random request and schedules the arrival of the next one.
func (s *simulation) arrive() {
	if s.Elapsed() > s.shape.Duration {
		return
	}
	rate := s.shape.BaseRate
	if s.Elapsed() >= s.shape.PeakFrom && s.Elapsed() < s.shape.PeakTo {
		rate = s.shape.PeakRate
	}
	s.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.place(s.newJob())
}

func (s *simulation) newJob() *job {
	j := &job{
		router: s.rng.IntN(s.deployment.Routers), workspace: s.rng.IntN(s.shape.Workspaces), tokens: s.shape.ShortTokens,
		arrived: s.Now(), deadline: s.Now().Add(s.shape.Deadline),
	}
	r := s.rng.Float64()
	if r < s.shape.LongShare {
		j.tokens, j.class = s.shape.LongTokens, queue.Long
	} else if r < s.shape.LongShare+s.shape.StragglerShare {
		j.tokens, j.class = s.shape.StragglerTokens, queue.Long
	}
	if s.shape.Prompts > 0 {
		j.prefix = fmt.Sprintf("prompt-%d", s.rng.IntN(s.shape.Prompts))
	}
	j.tokensLeft = j.tokens
	s.result.Requests++
	return j
}

// place sends a job to an upstream that its router selects. It refuses the job if none is left or maxPlacementAttempts is
// reached.
func (s *simulation) place(j *job) {
	vm, ok := s.selectors[j.router].pick(s.Now(), uint64(j.tokens), j.prefix, j.tried)
	if !ok || len(j.tried) >= maxPlacementAttempts {
		s.refuse(j)
		return
	}
	j.tried = append(j.tried, vm)
	s.After(2*s.deployment.OneWayDelay, func() { s.enqueue(j, s.upstreams[vm]) })
}

// refuse counts a new job as refused. A job that has already run is placed again after retryDelay.
func (s *simulation) refuse(j *job) {
	if j.runs == 0 {
		s.result.Refused++
		return
	}
	j.tried = nil
	s.After(retryDelay, func() { s.place(j) })
}

// enqueue adds a job to the queue of an upstream, or places it again if the queue is full. Under the policies without a
// reserve for short work, long jobs are queued as short work of one shared workspace.
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
		Workspace: workspace, Class: class, Tokens: uint64(j.tokensLeft), Deadline: j.deadline, Resumed: j.runs > 0,
		Preemptible: s.policy == Predicted && j.preempted < maxPreemptions,
	})
	if err != nil {
		s.selectors[j.router].recordEnd(u.vm)
		s.place(j)
		return
	}
	j.item, j.upstream = item, u
	u.waiting = append(u.waiting, j)
	s.After(j.deadline.Sub(s.Now()), func() { s.expire(j) })
	s.startWaiting(u)
	s.preempt(u)
}

// preempt detaches the jobs that have to give up their slots to short work, and places the rest of their work again.
func (s *simulation) preempt(u *upstream) {
	for _, j := range slices.Clone(u.jobs) {
		select {
		case <-j.item.Preempted():
			j.preempted++
			s.result.Preempted++
			s.detach(j)
			j.tried = nil
			s.place(j)
		default:
		}
	}
}

// detach removes a running job from its upstream so that it can continue on another one.
func (s *simulation) detach(j *job) {
	u := j.upstream
	u.jobs = slices.DeleteFunc(u.jobs, func(other *job) bool { return other == j })
	u.running--
	u.queue.Done(j.item)
	s.selectors[j.router].recordEnd(u.vm)
	j.started = false
	j.runs++
	j.deadline = s.Now().Add(s.shape.Duration)
	s.startWaiting(u)
}

// expire refuses a job that has not started at its deadline.
func (s *simulation) expire(j *job) {
	if j.started || j.runs > 0 {
		return
	}
	u := j.upstream
	u.queue.Done(j.item)
	u.waiting = slices.DeleteFunc(u.waiting, func(other *job) bool { return other == j })
	s.selectors[j.router].recordEnd(u.vm)
	s.result.Refused++
	s.startWaiting(u)
}

// startWaiting starts the waiting jobs that the queue has given a slot.
func (s *simulation) startWaiting(u *upstream) {
	u.waiting = slices.DeleteFunc(u.waiting, func(j *job) bool {
		select {
		case <-j.item.Started():
			j.started = true
			u.running++
			u.jobs = append(u.jobs, j)
			run := j.runs
			s.After(s.prefill(u, j), func() { s.generate(j, run) })
			return true
		default:
			return false
		}
	})
}
