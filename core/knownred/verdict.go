package knownred

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Verdict is a run held against the list.
type Verdict struct {
	// Failing and Passing are the listed tests by their outcome.
	Failing, Passing []Entry
	// Problems are the reasons for which the run is not good.
	Problems []string
}

// Good returns whether nothing failed but listed tests, and all of these were run.
func (v Verdict) Good() bool { return len(v.Problems) == 0 }

// Write prints the verdict.
func (v Verdict) Write(w io.Writer) error {
	var b strings.Builder
	for _, e := range v.Failing {
		fmt.Fprintf(&b, "known red: %s\n    run: %s\n    seen: %s\n    issue: %d\n", e.Test, e.Run, e.Seen, e.Issue)
	}
	for _, e := range v.Passing {
		fmt.Fprintf(&b, "known red, but passed: %s\n    if it is mended, remove its entry from line %d (issue %d)\n", e.Test, e.Line, e.Issue)
	}
	for _, problem := range v.Problems {
		fmt.Fprintf(&b, "not known red: %s\n", problem)
	}
	fmt.Fprintf(&b, "%d known red, %d known red but passed, %d other failures\n", len(v.Failing), len(v.Passing), len(v.Problems))
	if !v.Good() {
		b.WriteString("FAIL\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Judge returns the verdict on the packages, the suites' reports and the exit code of go test.
func Judge(entries []Entry, packages Packages, suites []Suite, exitCode int) Verdict {
	j := judgement{packages: packages, tests: map[Test][]State{}, suites: map[Test]Suite{}, listed: map[Test]bool{}}
	j.collect(suites)
	for _, e := range entries {
		j.judgeEntry(e)
	}
	for _, t := range slices.SortedFunc(maps.Keys(j.tests), compareTests) {
		if !j.listed[t] && slices.Contains(j.tests[t], Failed) {
			j.problem("%s failed", t)
		}
	}
	for _, t := range slices.SortedFunc(maps.Keys(j.suites), compareTests) {
		j.judgeSuite(t, j.suites[t])
	}
	failed := false
	for _, path := range slices.Sorted(maps.Keys(packages)) {
		j.judgePackage(path, packages[path])
		failed = failed || packages[path].state == Failed
	}
	// go test exits with 1 if packages failed, and with another code if it could not run them.
	if (exitCode != 0) != failed || exitCode > 1 || exitCode < 0 {
		j.problem("go test exited with %d", exitCode)
	}
	return j.verdict
}

type judgement struct {
	verdict  Verdict
	packages Packages
	// tests has the outcomes of all tests by name; a text may belong to several specs.
	tests map[Test][]State
	// suites has the reports by the Go test function that ran the suite.
	suites map[Test]Suite
	listed map[Test]bool
}

func (j *judgement) problem(format string, args ...any) {
	j.verdict.Problems = append(j.verdict.Problems, fmt.Sprintf(format, args...))
}

func (j *judgement) collect(suites []Suite) {
	for _, s := range suites {
		j.suites[Test{s.Package, s.Test}] = s
		for _, spec := range s.Specs {
			t := Test{s.Package, normalize(spec.Text)}
			j.tests[t] = append(j.tests[t], spec.State)
		}
	}
	for path, p := range j.packages {
		for name, state := range p.tests {
			t := Test{path, name}
			if _, ok := j.suites[t]; !ok {
				j.tests[t] = append(j.tests[t], state)
			}
		}
	}
}

func (j *judgement) judgeEntry(e Entry) {
	states := j.tests[e.Test]
	j.listed[e.Test] = true
	_, suite := j.suites[e.Test]
	switch {
	case suite:
		j.problem("%s is listed on line %d, but runs a whole suite; list its specs that fail", e.Test, e.Line)
	case len(states) == 0:
		j.problem("%s is listed on line %d, but no such test was run; correct or remove the entry", e.Test, e.Line)
	case len(states) > 1:
		j.problem("%s is listed on line %d, but %d specs have this text; give them texts of their own", e.Test, e.Line, len(states))
	case states[0] == Failed:
		j.verdict.Failing = append(j.verdict.Failing, e)
	case states[0] == Passed:
		j.verdict.Passing = append(j.verdict.Passing, e)
	default:
		j.problem("%s is listed on line %d, but was not run", e.Test, e.Line)
	}
}

func (j *judgement) judgeSuite(t Test, s Suite) {
	for _, problem := range s.Problems {
		j.problem("%s: %s", t, problem)
	}
	failedSpec := slices.ContainsFunc(s.Specs, func(spec Spec) bool { return spec.State == Failed })
	goTestFailed := j.packages[t.Package] != nil && j.packages[t.Package].tests[t.Name] == Failed
	if (goTestFailed || !s.Passed) && !failedSpec && len(s.Problems) == 0 {
		j.problem("%s failed, but none of its specs", t)
	}
}

func (j *judgement) judgePackage(path string, p *packageResult) {
	failedTest := false
	for _, state := range p.tests {
		failedTest = failedTest || state == Failed
	}
	switch {
	case p.state == NotRun:
		j.problem("%s did not end", path)
	case p.unbuilt:
		j.problem("%s was not built", path)
	case p.state == Failed && !p.complete:
		j.problem("%s ended before its last test", path)
	case p.state == Failed && !failedTest:
		j.problem("%s failed outside its tests", path)
	}
}

func compareTests(a, b Test) int { return strings.Compare(a.String(), b.String()) }
