package load

import (
	"slices"
	"time"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/ids"
)

// prefill returns the prefill time of a job and updates the upstream's prefix cache, which evicts the least recently used
// prefix.
func (s *simulation) prefill(u *upstream, j *job) time.Duration {
	d := s.slowed(u, s.deployment.Prefill)
	if j.prefix == "" {
		return d
	}
	at := slices.Index(u.cache, j.prefix)
	if at >= 0 {
		u.hits++
		u.cache = append(slices.Delete(u.cache, at, at+1), j.prefix)
		return d / cachedPrefillSpeedup
	}
	u.misses++
	u.cache = append(u.cache, j.prefix)
	if len(u.cache) > cacheEntries {
		u.cache = u.cache[1:]
	}
	return d
}

// slowed returns d, multiplied by the slow factor while the upstream is slowed.
func (s *simulation) slowed(u *upstream, d time.Duration) time.Duration {
	if u.slow && s.Elapsed() >= s.shape.SlowFrom && s.Elapsed() < s.shape.SlowTo {
		return time.Duration(float64(d) * s.shape.SlowFactor)
	}
	return d
}

// stepTokens is the number of tokens that one event of the simulation represents.
const stepTokens = 10

// generate generates the next tokens of a job, or completes it. It does nothing when the given run is no longer the job's
// current one.
func (s *simulation) generate(j *job, run int) {
	if j.runs != run {
		return
	}
	u := j.upstream
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = s.Now()
		s.result.recordFirstToken(j, s.Now().Sub(j.arrived))
	}
	if j.tokensLeft <= 0 {
		s.complete(j)
		return
	}
	step := min(stepTokens, j.tokensLeft)
	j.tokensLeft -= step
	slowdown := 1 + batchSlowdown*float64(min(u.running, s.deployment.Slots))/float64(s.deployment.Slots)
	gap := s.slowed(u, time.Duration(float64(s.deployment.Cadence)*slowdown))
	if u.cadence == 0 {
		u.cadence = gap
	}
	for range step {
		u.cadence += (gap - u.cadence) / cadenceWeightDivisor
	}
	u.lastTokenAt = s.Now()
	if s.shouldMove(gap) {
		s.move(j, run, gap)
		return
	}
	s.result.recordGap(gap, step)
	s.After(gap*time.Duration(step), func() { s.generate(j, run) })
}

// shouldMove reports whether an answer with this time between tokens is moved to another upstream. It follows the rule of
// package core/generation.
func (s *simulation) shouldMove(gap time.Duration) bool {
	return s.policy == Predicted && gap > allowedFactor*s.deployment.Cadence
}

// move detaches an answer from a slow upstream once its delay beyond the allowed time per token reaches maxDelay. The tokens
// generated until then are kept, and the next upstream needs another prefill.
func (s *simulation) move(j *job, run int, gap time.Duration) {
	allowed := allowedFactor * s.deployment.Cadence
	untilMove := time.Duration(float64(maxDelay) * float64(gap) / float64(gap-allowed))
	j.tokensLeft = max(0, j.tokensLeft+stepTokens-int(untilMove/gap))
	s.result.Moved++
	s.After(untilMove, func() {
		if j.runs != run {
			return
		}
		s.detach(j)
		j.tried = []ids.VM{j.upstream.vm}
		s.place(j)
	})
}

func (s *simulation) complete(j *job) {
	u := j.upstream
	u.jobs = slices.DeleteFunc(u.jobs, func(other *job) bool { return other == j })
	u.running--
	u.queue.Done(j.item)
	s.selectors[j.router].recordEnd(u.vm)
	s.result.recordCompletion(j, s.Now().Sub(j.arrived))
	s.selectors[j.router].picker.RecordLoad(s.Now(), u.vm, s.load(u))
	s.startWaiting(u)
}

func (s *simulation) load(u *upstream) balancer.Load {
	st := u.queue.State()
	return balancer.Load{
		Running: st.Running, Queued: st.Waiting, QueuedTokens: st.Tokens, Slots: st.Slots,
		Cadence: balancer.DecayedCadence(u.cadence, s.Now().Sub(u.lastTokenAt)),
	}
}

// report sends the load of each upstream to each router, as reply streams do, and schedules the next report.
func (s *simulation) report() {
	if s.Elapsed() > s.shape.Duration {
		return
	}
	for _, vm := range s.vms {
		for _, sel := range s.selectors {
			sel.picker.RecordLoad(s.Now(), vm, s.load(s.upstreams[vm]))
		}
	}
	s.After(reportInterval, s.report)
}
