package rollout

import "time"

const (
	// guardSlack is the part of the slack up to which a router itself goes with a version that is not proven. The rest covers what others
	// have sent and this router has not yet heard of.
	guardSlack = 0.7
	// planSlack is the part of the slack that the shares are planned for.
	planSlack = 0.8
	// rampFirst is the first share of the ramp, and rampMean the mean one.
	rampFirst = 0.25
	rampMean  = 0.6
	// canaryTop is the greatest share in the canary.
	canaryTop = 0.5
	// canaryRate is the number of requests a second that the new version gets in the canary at least, up to the expose share, so that a
	// version that turns bad late is seen.
	canaryRate = 4
	// doubtShare is the share while an answer speaks against the version, so that the doubt is resolved soon.
	doubtShare = 0.3
	// minRun is the least time from the first upstream of the new version to the verdict, as far as the order leaves it.
	minRun = 5 * time.Second
	// maxHandover bounds the time in which all requests go to the new version and the old ones are not there to compare with.
	maxHandover = 20 * time.Second
	// lag is the time after which a share that was written is in force at all routers.
	lag = time.Second
)

// bound returns the exposure that is allowed for an unproven version after a number of requests, with a part of the slack.
func (s Settings) bound(requests int, part float64) int {
	return int(float64(s.ExposeShare)*float64(requests) + part*float64(s.ExposeSlack))
}

// plan holds the times of a rollout, counted from the order.
type plan struct {
	// rampAt and handoverAt are when the ramp and the handover begin at the latest.
	rampAt, handoverAt time.Duration
	// completeAt is when the version is completed, and lastAt the time until which old requests that still run are waited for.
	completeAt, lastAt time.Duration
	// minHandover is the least time in the handover, in which routers learn of it.
	minHandover time.Duration
}

// newPlan plans a rollout whose new version could first be used at a time. The plan ends a fifth of the order's time before the deadline,
// and two seconds at least, since routers see an order and its record with a lag.
func newPlan(d, start, longestMedian time.Duration) plan {
	margin := min(max(2*time.Second, d/5), d/2)
	end := d - margin
	if run := min(minRun, d/3); end-start < run {
		end = start + run
	}
	left := end - start
	handover := min(max(left/9, 3*longestMedian), left/3, maxHandover)
	ramp := left / 5
	return plan{
		rampAt: end - handover - ramp, handoverAt: end - handover, completeAt: end, lastAt: max(end, d-margin*2/3),
		minHandover: min(handover, lag),
	}
}

// canaryShare returns the share for the canary: the exposure that the rest of the plan leaves, but always enough for some evidence.
func (s Settings) canaryShare(e Evidence, p plan, j Judgement) Share {
	rate := requestRate(e)
	left := (p.rampAt - e.Elapsed).Seconds()
	if left <= 0 {
		return s.ExposeShare
	}
	rest := rate * (rampMean*(p.handoverAt-p.rampAt).Seconds() + (p.completeAt - p.handoverAt).Seconds())
	share := (s.planned(rate, p) - float64(e.Exposed) - rest) / (rate * left)
	if j.Suspicion > 0 {
		share = max(share, doubtShare)
	}
	share = min(share, canaryTop, s.affordable(e, rate))
	return Share(max(share, min(float64(s.ExposeShare), canaryRate/rate)))
}

// rampShare returns the share for the ramp, which leaves exposure for the time in which a version that is bad under load is found out.
func (s Settings) rampShare(e Evidence, p plan, r Record) Share {
	rate := requestRate(e)
	share := p.rampStep(e.Elapsed)
	left := max(0.25, (p.handoverAt - e.Elapsed).Seconds())
	share = min(share, (s.planned(rate, p)-float64(e.Exposed)-rate*lag.Seconds())/(rate*left))
	if !r.Proven {
		share = min(share, s.affordable(e, rate))
	}
	return max(Share(share), s.ExposeShare)
}

// rampStep returns the share of the ramp at a time. The last step leaves a fifth of the requests to the old versions, so that the versions can
// still be compared when the load on the new one is nearly that of the handover.
func (p plan) rampStep(elapsed time.Duration) float64 {
	switch done := float64(elapsed-p.rampAt) / float64(max(1, p.handoverAt-p.rampAt)); {
	case done < 0.25:
		return rampFirst
	case done < 0.5:
		return 2 * rampFirst
	}
	return 0.8
}

// planned returns the exposure that is planned for until the end of the plan.
func (s Settings) planned(rate float64, p plan) float64 {
	return float64(s.ExposeShare)*rate*p.completeAt.Seconds() + planSlack*float64(s.ExposeSlack)
}

// affordable returns the share that keeps the exposure within the bound while a change of the share spreads.
func (s Settings) affordable(e Evidence, rate float64) float64 {
	left := float64(s.bound(e.Requests, planSlack) - e.Exposed)
	return max(0, left/max(1, rate*2*lag.Seconds()))
}

// requestRate returns the service's requests a second since the order.
func requestRate(e Evidence) float64 {
	return max(0.01, float64(e.Requests)/max(1, e.Elapsed.Seconds()))
}
