package load

import (
	"slices"
	"time"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/ids"
)

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
	s.choosers[j.router].picker.RecordLoad(s.now, u.vm, s.load(u))
	s.startWaiting(u)
}

func (s *simulation) load(u *upstream) balancer.Load {
	st := u.queue.State()
	return balancer.Load{
		Running: st.Running, Queued: st.Waiting, QueuedTokens: st.Tokens, Slots: st.Slots,
		Cadence: balancer.DecayedCadence(u.cadence, s.now.Sub(u.tokenAt)),
	}
}

// report brings each router what the streams from each upstream carry.
func (s *simulation) report() {
	if s.elapsed() > s.shape.Duration {
		return
	}
	for _, vm := range s.order {
		for _, c := range s.choosers {
			c.picker.RecordLoad(s.now, vm, s.load(s.upstreams[vm]))
		}
	}
	s.schedule(reportEvery, s.report)
}
