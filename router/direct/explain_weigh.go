package direct

import (
	"cmp"

	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/ratelimit"
)

// describe returns what is known about an upstream. The caller must hold e.mu.
func (e *explanation) describe(u fleet.Upstream) explain.Upstream {
	engine, calls := e.picker.Inspect(u.ID, e.now), e.calls.Inspect(u.ID, e.now)
	row := explain.Upstream{
		ID: u.ID, FailureDomain: u.Domain, Weighed: e.weighed[u.ID], Slowness: engine.Slowness,
		Own:    work(engine.Own, calls.Own),
		Others: explain.Reports{Work: work(engine.Others, calls.Others), Routers: engine.Reports, OldestAgeMS: explain.Millis(engine.OldestReport)},
		Limit:  e.limit(u.ID),
	}
	if e.service.Engine == nil {
		row.Others.Routers, row.Others.OldestAgeMS = calls.Reports, explain.Millis(calls.OldestReport)
	}
	if calls.Reported {
		row.Reported = &explain.Load{Busy: calls.Busy, Slowness: calls.Slowness, AgeMS: explain.Millis(calls.ReportAge)}
	}
	c := e.condition(u, calls)
	row.State, row.Reason, row.StateAgeMS = c.State, c.Reason, explain.Millis(c.Age)
	return row
}

func work(w placement.Work, calls int) explain.Work {
	return explain.Work{Running: w.Running, PendingPromptTokens: w.PendingPrefill, MemoryTokens: w.Memory, Calls: calls}
}

// condition returns the state of an upstream as requests of the service see it. The caller must hold e.mu.
func (e *explanation) condition(u fleet.Upstream, calls placement.CallLoad) fleet.Condition {
	c := e.fleet.Condition(u, e.now)
	if suspect, _ := e.suspicion(u, e.now); c.State == fleet.Suspected && !suspect {
		c = fleet.Condition{State: fleet.Available}
	}
	if c.State != fleet.Available || !calls.Ejected {
		return c
	}
	if calls.EjectedHere {
		return fleet.Condition{State: fleet.Suspected, Reason: "several calls in a row have failed there"}
	}
	return fleet.Condition{State: fleet.Suspected, Reason: "other routers report that several calls in a row have failed there"}
}

func (e *explanation) limit(id ids.VM) explain.Limit {
	v := e.rateLimits.Peek(id, e.now)
	l := explain.Limit{HeldMS: explain.Millis(v.Held), PerSecond: float64(v.Rate), OwnPerSecond: float64(v.Part), AgeMS: explain.Millis(v.Age)}
	if v.Delay == ratelimit.Never {
		l.Closed = true
	} else {
		l.DelayMS = explain.Millis(v.Delay)
	}
	return l
}

// others returns the usable upstreams that do not compete for the request. The caller must hold e.mu.
func (e *explanation) others(usable []*fleet.Upstream) []placement.Candidate {
	var out []placement.Candidate
	for _, u := range usable {
		if !e.weighed[u.ID] {
			suspect, _ := e.suspicion(*u, e.now)
			out = append(out, placement.Candidate{ID: u.ID, Domain: u.Domain, Suspect: suspect})
		}
	}
	return out
}

func (e *explanation) row(id ids.VM) *explain.Upstream { return &e.report.Upstreams[e.rows[id]] }

// weighGeneration follows the steps of [stream.runOnce] and [stream.place]. The caller must hold e.mu.
func (e *explanation) weighGeneration(usable []*fleet.Upstream) {
	req := placement.Request{Prompt: e.req.Prompt.Tokens, Output: e.req.Prompt.MaxOutput, CachedAt: e.promptEngine(e.req.Prompt.Name)}
	e.report.CachedAt, e.report.CostUnit = req.CachedAt, "ms"
	weighed := e.picker.Estimates(e.list.candidates, req, e.engineModel(), e.now)
	for _, est := range append(weighed, e.picker.Estimates(e.others(usable), req, e.engineModel(), e.now)...) {
		row := e.row(est.ID)
		cost, first, fits := explain.Millis(est.Cost), explain.Millis(est.FirstEvent), est.Fits
		row.Cost, row.FirstEventMS, row.Fits = &cost, &first, &fits
		if row.Weighed {
			row.Chance = est.Chance
		}
	}
	v := e.quarantine.Peek(quarantine.Parts(e.req.Prompt.Model, e.req.Prompt.Parts), e.now)
	if !v.Allowed {
		e.refuse((&quarantineError{v}).fault())
		return
	}
	e.report.QuarantineTrial = v.Trial
	e.checkUpstreams()
}

// weighCall follows the steps of [exchange.tryAdmitted]. The caller must hold e.mu.
func (e *explanation) weighCall(usable []*fleet.Upstream) {
	slots := make(map[ids.VM]int, len(usable))
	for _, u := range usable {
		slots[u.ID] = u.Slots
	}
	e.report.CostUnit = "calls"
	weighed := e.calls.Estimates(e.list.candidates, slots, e.now)
	for i, est := range append(weighed, e.calls.Estimates(e.others(usable), slots, e.now)...) {
		row := e.row(est.ID)
		cost := est.Cost
		row.Cost = &cost
		if i == 0 && row.Weighed {
			row.Chance = 1
		}
	}
	if e.awaitSlot() {
		e.checkUpstreams()
	}
}

// awaitSlot adds the wait for a concurrency slot, or returns false if the call would be refused. The caller must hold e.mu.
func (e *explanation) awaitSlot() bool {
	l, known := e.limiters[e.service.Name]
	if !known {
		l = e.newLimiter(e.service.Name)
	}
	s := l.State()
	e.report.Limiter = &explain.Limiter{
		Limit: s.Limit, Running: s.Running, Waiting: s.Waiting, MeanCallTimeMS: explain.Millis(s.MeanCallTime),
	}
	wait, admitted := l.Predict(e.queued(), e.now)
	if admitted {
		return true
	}
	if wait > e.remaining()-minAnswerTime {
		f := queueFullFault(wait)
		e.refuseSpread(f, maxSpread(f.Kind.RetryAfter))
		return false
	}
	e.wait(wait, "for a concurrency slot")
	return true
}

// checkUpstreams adds the wait for an upstream that takes the request, or the refusal if there is none in time. The caller must
// hold e.mu.
func (e *explanation) checkUpstreams() {
	switch delay := e.list.delay; {
	case len(e.list.candidates) == 0:
		e.refuse(e.noUpstreamError())
	case delay > 0 && !e.mayAwaitLimit(delay):
		f := (&limitedError{delay}).fixedFault()
		e.refuseSpread(f, maxSpread(f.Kind.RetryAfter))
	case delay > 0:
		e.wait(delay, cmp.Or(e.limitReason(), "for the rate limit of the upstream"))
	}
}

// limitReason names the pause that the upstream which takes the request first has asked for, or nothing if it has not.
func (e *explanation) limitReason() string {
	if e.rateLimits.Peek(e.list.candidates[0].ID, e.now).Held == e.list.delay {
		return "for the end of the pause that the upstream has asked for"
	}
	return ""
}
