package direct

import (
	"errors"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
)

// errOldVersion ends a run at an upstream of an old version that is about to stop, since the generation goes on at the new one.
var errOldVersion = errors.New("the upstream's version is replaced")

const (
	// forcedMoveShare is the part of an order's time, before its end, at which generations move without a copy of their KV cache, and
	// minForcedMove the least time: the new upstream reads the prompt again, which takes about a second.
	forcedMoveShare = 0.2
	minForcedMove   = 2 * time.Second
)

// moveOldRuns makes the generations that run at old versions move to new ones while those take over.
func (st *state) moveOldRuns() {
	proven, others := st.runsToMove()
	for _, s := range proven {
		s.prepareMove()
		s.wake()
	}
	for _, s := range others {
		s.wake()
	}
}

// runsToMove returns the streams that run at old versions during a handover: those whose new version has been shown to be good, and others.
func (st *state) runsToMove() (proven, others []*stream) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, r := range st.rollouts.services {
		if !r.handingOver() {
			continue
		}
		for _, id := range st.oldUpstreams(r) {
			for s := range st.running[id] {
				if r.record.Proven {
					proven = append(proven, s)
				} else {
					others = append(others, s)
				}
			}
		}
	}
	return proven, others
}

// oldUpstreams returns the registered upstreams of a service's old versions. The caller must hold st.mu.
func (st *state) oldUpstreams(r *serviceRollout) []ids.VM {
	var out []ids.VM
	for _, u := range st.fleet.Registered(r.service) {
		if r.Class(rollout.Version(u.Version)) == rollout.ClassOld {
			out = append(out, u.ID)
		}
	}
	return out
}

// prepareMove makes the run's upstream copy the KV cache to an upstream of the new version.
func (s *stream) prepareMove() {
	if e := s.service.Engine; e == nil || !e.Backups || !s.route.Resumable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copier != nil {
		s.copier.start()
	}
}

// mustMove reports whether a run at an old version is to be ended now, because there is a copy at the new version or time is nearly over.
func (s *stream) mustMove(r *run) bool {
	if s.rollouts == nil {
		return false
	}
	now := s.clock.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	v := s.rolloutOf(s.service.Name)
	if v == nil || !v.handingOver() || v.Class(rollout.Version(r.upstream.Version)) != rollout.ClassOld {
		return false
	}
	// A version that has not been shown to be good gets a limited share also in the handover, so that a generation may find itself at an
	// old upstream again. It moves once, when time is nearly over.
	if choice, _ := s.choose(now); !choice.New() || !v.record.Proven && s.leftOld {
		return false
	}
	margin := max(minForcedMove, time.Duration(forcedMoveShare*float64(v.order.Duration)))
	if v.Elapsed(now) >= v.order.Duration-margin {
		return true
	}
	if !v.record.Proven {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copier != nil && s.copier.ordered != nil && s.mayContinueAt(s.copier.ordered.host, now)
}
