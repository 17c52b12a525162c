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
	// falseDoubt is the probability of error at which a version is rolled back if the time for its test is over.
	falseDoubt = 0.01
	// usualRate is the least rate of bad answers that a good version is expected to have. With 0.02 a version of which a fifth is bad
	// needed a third more answers to be detected.
	usualRate = 0.01
	// badExcess is the rate of bad answers beyond the usual one for which the test is made.
	badExcess = 0.18
	// faultRate is the probability that a fault hits both versions in a slot.
	faultRate = 0.02
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
// hit, with a small probability, by a fault that hits the old versions as much.
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
		answered := false
		ratios := make([]float64, len(r.Slots))
		for i, s := range r.Slots {
			answered = answered || s.NewAnswers > 0
			if old[i].NewAnswers > 0 {
				mean[i] += rate * s.NewAnswers / old[i].NewAnswers
			}
			ratios[i] = logRatio(s, rate, around(old, i), around(r.Slots, i))
		}
		if answered {
			tested++
		}
		if s := cusum(ratios, controlled); s > j.Suspicion {
			j.Suspicion, j.Route = s, r.Route
		}
	}
	sum := make([]float64, len(old))
	for i, s := range old {
		sum[i] = logRatio(s, mean[i], around(old, i))
		j.LogRatio += sum[i]
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

// logRatio returns the log likelihood ratio of bad against good for the new version's answers in a slot. good is the usual rate of bad
// answers; a fault that hits both versions makes any rate equally probable for the answers of both, old and new.
func logRatio(s Slot, good float64, olds ...tally) float64 {
	if s.NewAnswers <= 0 {
		return 0
	}
	good = min(max(usualRate, good), 0.9)
	bad := good + badExcess*(1-good)
	fault := math.Inf(-1)
	for _, o := range olds {
		fault = max(fault, logBeta(s.NewBad+o.bad+1, s.NewAnswers-s.NewBad+o.answers-o.bad+1)-logBinomial(o.answers, o.bad, good))
	}
	usual := logBinomial(s.NewAnswers, s.NewBad, good) + math.Log(1-faultRate)
	fault += math.Log(faultRate)
	either := max(usual, fault) + math.Log1p(math.Exp(-math.Abs(usual-fault)))
	return logBinomial(s.NewAnswers, s.NewBad, bad) - either
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
	t.suspicious = false
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
