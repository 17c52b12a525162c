package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// falseRollback is the greatest probability that a good version is rolled back in an order, over all tests.
	falseRollback = 5e-4
	// falseProof is the greatest probability that a version whose bad answers exceed the old one's by badExcess passes the canary.
	falseProof = 0.05
	// falseDoubt is the probability at which a version is rolled back if the time for its test is over.
	falseDoubt = 0.01
	// usualRate is the least rate of bad answers that a good version is expected to have. With 0.02 a version of which a fifth is bad
	// needed a third more answers to be detected.
	usualRate = 0.01
	// badExcess is the rate of bad answers beyond the usual one for which the test is made.
	badExcess = 0.18
	// Weights, in answers, with which rates over a wider scope count in those of a narrower one: the usual rate in that of the version, that
	// in the route's, and that in a slot's.
	versionWeight, routeWeight, slotWeight = 20, 10, 10
	// isolationPart is the time, in percent of the rollback time, after which a router that hears nobody is taken to be cut off. The rest is
	// for requests that are under way.
	isolationPart = 60
)

// Judgement is the result of the sequential test of a new version against the old one.
type Judgement struct {
	// Bad means that the version is worse than the old one, with a probability of error below falseRollback.
	Bad bool
	// Sound means that the version has passed the canary.
	Sound bool
	// Doubtful means that the version would be rolled back if the time were over.
	Doubtful bool
	// Suspicion is the greatest log likelihood ratio of bad against good that some latest answers show, on a route or in sum, and Limit the
	// one from which the version is bad.
	Suspicion, Limit float64
	// Route is the route with the suspicion; it is empty if that is in sum.
	Route Route
	// LogRatio is the log likelihood ratio of all answers.
	LogRatio float64
	// Answers and BadAnswers are those of the new version that count.
	Answers, BadAnswers float64
}

// String returns the figures for logs.
func (j Judgement) String() string {
	at := "all routes"
	if j.Route != "" {
		at = "route " + string(j.Route)
	}
	return fmt.Sprintf("%.1f bad of %.1f answers; suspicion %.1f of %.1f on %s", j.BadAnswers, j.Answers, j.Suspicion, j.Limit, at)
}

// Judge tests the new version. The test is sequential: a sum of log likelihood ratios that restarts at zero (CUSUM), so that a version that
// turns bad late is detected as soon as one that is bad from the start.
func Judge(e Evidence) Judgement {
	var j Judgement
	var old tally
	slots := 0
	tested := 0
	for _, r := range e.Routes {
		slots = max(slots, len(r.Slots))
		for _, s := range r.Slots {
			old.answers += s.OldAnswers
			old.bad += s.OldBad
			j.Answers += s.NewAnswers
			j.BadAnswers += s.NewBad
		}
	}
	versionRate := (old.bad + usualRate*versionWeight) / (old.answers + versionWeight)
	sum := make([]float64, slots)
	for _, r := range e.Routes {
		ratios, answered := r.logRatios(versionRate)
		if answered {
			tested++
		}
		for i, x := range ratios {
			sum[i] += x
		}
		if s := cusum(ratios); s > j.Suspicion {
			j.Suspicion, j.Route = s, r.Route
		}
	}
	if s := cusum(sum); s >= j.Suspicion && s > 0 {
		j.Suspicion, j.Route = s, ""
	}
	for _, x := range sum {
		j.LogRatio += x
	}
	// Each bad answer of a good version may begin an excursion of the sum, on each route and in all.
	excursions := 1 + usualRate*j.Answers
	j.Limit = math.Log(float64(1+tested) * excursions / falseRollback)
	j.Bad = j.Suspicion >= j.Limit
	j.Doubtful = j.Suspicion >= -math.Log(falseDoubt)
	j.Sound = j.LogRatio <= math.Log(falseProof) && !j.Doubtful
	return j
}

// logRatios returns the log likelihood ratio of bad against good in each slot, and whether the new version has given any answer.
func (r RouteEvidence) logRatios(versionRate float64) ([]float64, bool) {
	var old tally
	answered := false
	for _, s := range r.Slots {
		old.answers += s.OldAnswers
		old.bad += s.OldBad
		answered = answered || s.NewAnswers > 0
	}
	routeRate := (old.bad + versionRate*routeWeight) / (old.answers + routeWeight)
	out := make([]float64, len(r.Slots))
	for i, s := range r.Slots {
		good := max(usualRate, (s.OldBad+routeRate*slotWeight)/(s.OldAnswers+slotWeight))
		good = min(good, 0.9)
		bad := good + badExcess*(1-good)
		out[i] = s.NewBad*math.Log(bad/good) + (s.NewAnswers-s.NewBad)*math.Log((1-bad)/(1-good))
	}
	return out, answered
}

// cusum returns the greatest sum of the last ratios, or of none.
func cusum(ratios []float64) float64 {
	s := 0.0
	for _, x := range ratios {
		s = max(0, s+x)
	}
	return s
}

// assess rejects the version if this router knows enough against it.
func (t *Tracker) assess(now time.Time) {
	if !t.policy.running || t.verdict != Undecided {
		return
	}
	if j := Judge(t.Evidence(now)); j.Bad {
		t.verdict, t.reason = Rejected, j.String()
		t.refresh()
	}
}
