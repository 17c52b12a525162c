package quarantine

import (
	"math"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// Verdict is the decision on a request, with its inputs.
type Verdict struct {
	Allowed bool
	// Trial is set if the request is let through to find out whether its parts are sound. It must run at most once.
	Trial bool
	// Part is the part that decides, or zero if none of the parts is suspect. The other fields describe its breaker.
	Part  Part
	Epoch uint32
	// Age is the time since the breaker opened, Remaining the time until this router admits a trial.
	Age       time.Duration
	Remaining time.Duration
	// Crashes is the number of incidents that the breaker was opened on, in which upstreams that crashed together may count one by one.
	// Routers are the ones that reported them.
	Crashes int
	Routers []ids.VM
	// Alternatives is the number of other parts that explain the crashes as well.
	Alternatives int
	// Discriminates is set if the request lacks one of those, so that its outcome tells which part is to blame.
	Discriminates bool
}

// Check decides whether a request may be sent to an engine, at each attempt. A request that is allowed as a trial holds the
// trial until its outcome is recorded or it ends.
func (q *Quarantine) Check(request ids.Request, parts []Part, now time.Time) Verdict {
	v, trials := q.judge(request, parts, now)
	for _, b := range trials {
		b.trial, b.trialUntil = request, now.Add(trialTime)
	}
	return v
}

// Peek returns the verdict on a new request with the given parts, without starting a trial.
func (q *Quarantine) Peek(parts []Part, now time.Time) Verdict {
	v, _ := q.judge("", parts, now)
	return v
}

// Suspects returns the number of recent crashes of runs that shared a part with a request and have not been cancelled by a sound
// run of that part.
func (q *Quarantine) Suspects(parts []Part, now time.Time) int {
	n := 0
	for _, c := range q.evidence.crashes {
		counts := func(p Part) bool { return slices.Contains(parts, p) && c.At.After(q.evidence.soundAt(p)) }
		if now.Sub(c.At) < evidenceLifetime && slices.ContainsFunc(c.Parts, counts) {
			n++
		}
	}
	return n
}

// Known returns the numbers of the breakers that stand and of the recent crashes.
func (q *Quarantine) Known(now time.Time) (breakers, crashes int) {
	for _, b := range q.breakers {
		if b.active() {
			breakers++
		}
	}
	q.evidence.expire(now)
	return breakers, len(q.evidence.crashes)
}

// judge returns the verdict on a request, and the breakers of which the request would be the trial.
func (q *Quarantine) judge(request ids.Request, parts []Part, now time.Time) (Verdict, []*breaker) {
	v := Verdict{Allowed: true}
	if len(q.breakers) == 0 {
		return v, nil
	}
	var trials []*breaker
	for b := range q.breakersOf(parts) {
		if !b.active() {
			continue
		}
		v = q.describe(b, parts, now)
		if v.Remaining == 0 && (b.trial != request || request == "") {
			v.Remaining = max(0, b.trialUntil.Sub(now))
		}
		if v.Remaining > 0 {
			return v, nil
		}
		trials = append(trials, b)
	}
	v.Allowed, v.Trial = true, len(trials) > 0
	return v, trials
}

func (q *Quarantine) describe(b *breaker, parts []Part, now time.Time) Verdict {
	return Verdict{
		Part: b.part, Epoch: b.epoch, Age: now.Sub(b.openedAt), Remaining: max(0, q.trialAt(b, parts, now).Sub(now)),
		Crashes: b.crashes, Routers: b.routers, Alternatives: len(b.alternatives), Discriminates: q.discriminates(b, parts),
	}
}

// discriminates reports whether the parts lack one that explains the crashes under the breaker's part as well.
func (q *Quarantine) discriminates(b *breaker, parts []Part) bool {
	return slices.ContainsFunc(b.alternatives, func(p Part) bool {
		other := q.breakers[p]
		return other != nil && other.active() && !Includes(parts, p)
	})
}

// trialAt returns from when on this router admits a request with the given parts as a trial of one of them.
func (q *Quarantine) trialAt(b *breaker, parts []Part, now time.Time) time.Time {
	if q.discriminates(b, parts) {
		return b.openedAt.Add(time.Duration(float64(trialOrder(b, q.router)) / math.MaxUint64 * float64(alternativeSpread)))
	}
	if now.Before(b.until()) {
		return b.until()
	}
	// A router that has just started does not know yet which others there are.
	if known := q.startedAt.Add(trialInterval); now.Before(known) {
		return known
	}
	rank, routers := q.rank(b, now)
	// The routers take turns of trialInterval, beginning with rank zero.
	turn := int(now.Sub(b.until()) / trialInterval)
	ahead := ((rank-turn)%routers + routers) % routers
	if ahead == 0 {
		return now
	}
	return b.until().Add(time.Duration(turn+ahead) * trialInterval)
}

// EndTrial ends the trials that a request holds, once it has ended.
func (q *Quarantine) EndTrial(request ids.Request) {
	for _, b := range q.breakers {
		if b.trial == request {
			b.trial, b.trialUntil = "", time.Time{}
		}
	}
}

// LogFields returns the verdict's inputs for a log line.
func (v Verdict) LogFields() []any {
	return []any{
		"part", v.Part, "trial", v.Trial, "epoch", v.Epoch, "age", v.Age.String(), "remaining", v.Remaining.String(),
		"crashes", v.Crashes, "reported_by", v.Routers, "alternatives", v.Alternatives,
	}
}
