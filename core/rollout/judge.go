package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// falseRollback is the greatest probability that a good version is rolled back in an order, over all tests. A good version that is
	// rolled back is rolled out again by another order; a bad one that is completed fails its callers, so that this is not made smaller.
	falseRollback = 5e-3
	// falseProof is the greatest probability that a version whose bad answers exceed the old one's by badExcess passes the canary.
	falseProof = 0.02
	// falseDoubt is the probability of error at which a version is rolled back if the time for its test is over.
	falseDoubt = 0.01
	// usualRate is the least rate of bad answers that a good version is expected to have. With 0.02 a version of which a fifth is bad
	// needed a third more answers to be detected.
	usualRate = 0.01
	// badExcess is the rate of bad answers beyond the usual one for which the test is made.
	badExcess = 0.18
	// anyRate is the probability that a bad version has any rate of bad answers instead. Without it, a version that fails always looked more
	// like a fault than like a bad version.
	anyRate = 0.2
	// faultBegins is the probability that a fault that hits both versions begins in a slot, and faultLasts the one that it goes on in the next.
	faultBegins, faultLasts = 0.02, 0.7
	// versionWeight and routeWeight are the answers that the usual rate counts for in that of the version, and this one in that of a route.
	versionWeight, routeWeight = 20, 10
	// uncontrolledLimit bounds the suspicion that comes from times at which the old versions gave less than controlShare of the answers, as in
	// the handover: a fault that hits both versions cannot be told from a bad version then.
	uncontrolledLimit = 6.5
	controlShare      = 0.1
	// controlAnswers is the number of answers around a slot in which the old versions' share is looked at.
	controlAnswers = 16
	// controlAt is the suspicion from which a router sends a part of its requests to the old versions again in the handover, so that the
	// versions can be compared. It takes two bad answers close to each other.
	controlAt = 5
	// comparedShare is the share of the new version meanwhile. It is high, since a version that is bad under load would look good with less.
	comparedShare = 0.75
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
// turns bad late is detected as soon as one that is bad from the start. In each slot, a bad version is weighed against a good one that is
// hit, with a small probability, by a fault that hits the old versions as much and may last for some slots.
func Judge(e Evidence) Judgement {
	var j Judgement
	old := pool(e.Routes)
	var all tally
	for _, s := range old {
		all = all.plus(tally{s.OldAnswers, s.OldBad})
		j.Answers += s.NewAnswers
		j.BadAnswers += s.NewBad
	}
	controlled := make([]bool, len(old))
	for i := range old {
		controlled[i] = hasControl(old, i)
	}
	versionRate := all.rate(usualRate, versionWeight)
	mean := make([]float64, len(old))
	tested := 0
	for _, r := range e.Routes {
		rate := r.rate(versionRate)
		rates := make([]float64, len(r.Slots))
		answered := false
		for i, s := range r.Slots {
			answered = answered || s.NewAnswers > 0
			rates[i] = rate
			if old[i].NewAnswers > 0 {
				mean[i] += rate * s.NewAnswers / old[i].NewAnswers
			}
		}
		if answered {
			tested++
		}
		if s := cusum(logRatios(r.Slots, old, rates), controlled); s > j.Suspicion {
			j.Suspicion, j.Route = s, r.Route
		}
	}
	sum := logRatios(old, old, mean)
	for _, x := range sum {
		j.LogRatio += x
	}
	if s := cusum(sum, controlled); s >= j.Suspicion && s > 0 {
		j.Suspicion, j.Route = s, ""
	}
	// Each bad answer of a good version may begin an excursion of the sum, on each route and in all.
	excursions := 1 + usualRate*j.Answers
	j.Limit = math.Log(float64(1+tested) * excursions / falseRollback)
	j.Bad = j.Suspicion >= j.Limit
	j.Doubtful = j.Suspicion >= math.Log(float64(1+tested)/falseDoubt)
	j.Sound = j.LogRatio <= math.Log(falseProof) && !j.Doubtful
	return j
}

// pool sums up the slots of all routes.
func pool(routes []RouteEvidence) []Slot {
	var out []Slot
	for _, r := range routes {
		for i, s := range r.Slots {
			if i == len(out) {
				out = append(out, Slot{})
			}
			out[i] = out[i].plus(s)
		}
	}
	return out
}

func (s Slot) plus(o Slot) Slot {
	return Slot{s.OldAnswers + o.OldAnswers, s.OldBad + o.OldBad, s.NewAnswers + o.NewAnswers, s.NewBad + o.NewBad}
}

// around returns the old versions' answers in a slot and the two beside it: reports of other routers arrive later than own answers.
func around(slots []Slot, i int) tally {
	var out tally
	for _, s := range slots[max(0, i-1):min(len(slots), i+2)] {
		out = out.plus(tally{s.OldAnswers, s.OldBad})
	}
	return out
}

// rate returns the rate of bad answers, given another one that counts with a weight.
func (a tally) rate(prior, weight float64) float64 {
	return (a.bad + prior*weight) / (a.answers + weight)
}

// rate returns the rate of the old versions' bad answers on the route.
func (r RouteEvidence) rate(versionRate float64) float64 {
	var old tally
	for _, s := range r.Slots {
		old = old.plus(tally{s.OldAnswers, s.OldBad})
	}
	return old.rate(versionRate, routeWeight)
}

// logRatios returns the log likelihood ratios of bad against good for the new version's answers in slots. rates are the usual rates of bad
// answers. During a fault any rate is as probable for the answers of both versions, on the route or on all.
func logRatios(slots, all []Slot, rates []float64) []float64 {
	out := make([]float64, len(slots))
	begins := faultBegins
	for i, s := range slots {
		good := min(max(usualRate, rates[i]), 0.9)
		bad := good + badExcess*(1-good)
		expected, inFault := s.expected(good, begins, around(slots, i))
		if e, f := s.expected(good, begins, around(all, i)); e > expected {
			expected, inFault = e, f
		}
		if s.NewAnswers <= 0 {
			begins = inFault*faultLasts + (1-inFault)*faultBegins
			continue
		}
		out[i] = logEither(
			math.Log(1-anyRate)+logBinomial(s.NewAnswers, s.NewBad, bad),
			math.Log(anyRate)+logBeta(s.NewBad+1, s.NewAnswers-s.NewBad+1),
		) - expected
		begins = inFault*faultLasts + (1-inFault)*faultBegins
	}
	return out
}

// expected returns the log likelihood of the new version's answers if it is good, and the probability that a fault hits both, given the old
// versions' answers. begins is that probability before the answers are looked at.
func (s Slot) expected(good, begins float64, old tally) (likelihood, inFault float64) {
	usual := math.Log(1-begins) + logBinomial(s.NewAnswers, s.NewBad, good)
	fault := math.Log(begins) - logBinomial(old.answers, old.bad, good) +
		logBeta(s.NewBad+old.bad+1, s.NewAnswers-s.NewBad+old.answers-old.bad+1)
	likelihood = logEither(usual, fault)
	return likelihood, math.Exp(fault - likelihood)
}

// logEither returns the logarithm of the sum of two probabilities.
func logEither(a, b float64) float64 {
	return max(a, b) + math.Log1p(math.Exp(-math.Abs(a-b)))
}

// logBinomial returns the log likelihood of a sequence of answers.
func logBinomial(answers, bad, rate float64) float64 {
	return bad*math.Log(rate) + (answers-bad)*math.Log(1-rate)
}

// logBeta returns the logarithm of the beta function.
func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// hasControl reports whether the old versions gave enough of the answers around a slot, over as many slots as hold controlAnswers.
func hasControl(slots []Slot, i int) bool {
	for reach := 0; ; reach++ {
		from, to := max(0, i-reach), min(len(slots), i+reach+1)
		var sum Slot
		for _, s := range slots[from:to] {
			sum = sum.plus(s)
		}
		if all := sum.OldAnswers + sum.NewAnswers; all >= controlAnswers || from == 0 && to == len(slots) {
			return sum.OldAnswers >= controlShare*all
		}
	}
}

// cusum returns the greatest sum of the last ratios, or of none.
func cusum(ratios []float64, controlled []bool) float64 {
	s := 0.0
	for i, x := range ratios {
		if !controlled[i] && x > 0 {
			x = max(0, min(x, uncontrolledLimit-s))
		}
		s = max(0, s+x)
	}
	return s
}

// assess rejects the version if this router knows enough against it.
func (t *Tracker) assess(now time.Time) {
	t.suspicious, t.assessedAt = false, now
	if !t.policy.running || t.verdict != Undecided {
		return
	}
	j := Judge(t.Evidence(now))
	t.suspicious = j.Suspicion >= controlAt
	if j.Bad {
		t.verdict, t.reason = Rejected, j.String()
		t.refresh()
	}
}
