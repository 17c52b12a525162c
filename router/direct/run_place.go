package direct

import (
	"time"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

// place chooses the upstream of the next run and the one that receives the copy of its KV cache.
func (s *stream) place() (*run, error) {
	now := s.clock.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	placementReq := s.placementReq
	placementReq.CachedAt = s.promptEngine(s.req.Prompt.Name)
	list := s.runCandidates(s.tried, placementReq.CachedAt, now)
	r := &run{placedAt: now}
	if u, ok := s.resumeHost(list, now); ok {
		r.upstream = u
		r.resumeFrom, s.resumeCopy = s.resumeCopy, nil
		placementReq = placement.Request{Context: placementReq.Prompt, Output: placementReq.Output}
	} else {
		c, predicted, ok := s.picker.Pick(list.candidates, placementReq, s.model, now)
		if !ok {
			return nil, errNoUpstream
		}
		if list.delay > 0 && !s.mayAwaitLimit(list.delay) {
			return nil, &limitedError{list.delay}
		}
		r.delay = list.delay
		r.upstream = list.get(c.ID)
		r.predicted = predicted
		s.countOverWindow(c.WindowFull)
	}
	if u, ok := s.pickCopyHost(r, list, now); ok {
		r.backup = &u
	}
	r.charge = s.rateLimits.Take(r.upstream.ID, now)
	r.slowness = s.picker.Slowness(r.upstream.ID, now)
	r.reservation = s.picker.Reserve(r.upstream.ID, placementReq, r.backupID())
	s.recordPrompt(s.req.Prompt.Name, r.upstream.ID)
	s.broadcastSoon()
	if s.running[r.upstream.ID] == nil {
		s.running[r.upstream.ID] = map[*stream]bool{}
	}
	s.running[r.upstream.ID][s] = true
	return r, nil
}

// resumeHost returns the upstream that holds the copy from which the next run resumes, if it may receive the run. The caller must hold
// s.state.mu.
func (s *stream) resumeHost(list candidateList, now time.Time) (fleet.Upstream, bool) {
	c := s.resumeCopy
	if c == nil {
		return fleet.Upstream{}, false
	}
	u, known := s.fleet.Get(c.host.ID)
	usable := known && u.Started == c.host.Started && s.mayContinueAt(u, now) && (u.Available() || list.get(u.ID).ID != "")
	return u, usable && s.rateLimits.Delay(u.ID, now) == 0
}

// dropResumeCopy frees the copy that was not used for a run that is about to be sent elsewhere.
func (s *stream) dropResumeCopy() {
	s.freeCopyAsync(s.resumeCopy)
	s.resumeCopy = nil
}

// avoidDomain makes further runs and copies prefer other failure domains.
func (s *stream) avoidDomain(d ids.FailureDomain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedDomains[d] = true
}

// runCandidates returns the candidates for runs and copies. The caller must hold s.state.mu.
func (s *stream) runCandidates(tried map[ids.VM]bool, preferred ids.VM, now time.Time) candidateList {
	list := s.candidates(tried, preferred, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range list.candidates {
		list.candidates[i].Suspect = c.Suspect || s.failedDomains[c.Domain]
	}
	s.weigh(list, func(u *fleet.Upstream) (own, others, slots int) {
		own, others = s.picker.InFlight(u.ID, now)
		return own, others, s.model.Slots
	}, now)
	return list
}

// pickCopyHost chooses the upstream that receives the copy of a run's KV cache. The caller must hold s.state.mu.
func (s *stream) pickCopyHost(r *run, list candidateList, now time.Time) (fleet.Upstream, bool) {
	if s.service.Engine == nil || !s.service.Engine.Backups || !s.route.Resumable {
		return fleet.Upstream{}, false
	}
	c, ok := s.picker.PickCopy(list.candidates, placement.Candidate{ID: r.upstream.ID, Domain: r.upstream.Domain},
		s.placementReq, s.model, now)
	if !ok {
		return fleet.Upstream{}, false
	}
	return list.get(c.ID), true
}
