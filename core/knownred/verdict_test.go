package knownred_test

import (
	"fmt"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/knownred"
)

const (
	shelf      = "example.org/shelf"
	suiteFails = `{"Action":"run","Package":"example.org/shelf","Test":"TestShelf"}
{"Action":"output","Package":"example.org/shelf","Test":"TestShelf","Output":"=== RUN   TestShelf\n"}
{"Action":"output","Package":"example.org/shelf","Test":"TestShelf","Output":"expected 1\n"}
{"Action":"fail","Package":"example.org/shelf","Test":"TestShelf"}
`
	plainPasses = `{"Action":"run","Package":"example.org/shelf","Test":"FuzzShelf"}
{"Action":"fail","Package":"example.org/shelf","Test":"FuzzShelf/seed#0"}
{"Action":"pass","Package":"example.org/shelf","Test":"FuzzShelf"}
`
	endsRed = `{"Action":"output","Package":"example.org/shelf","Output":"FAIL\n"}
` + closesRed
	closesRed = `{"Action":"output","Package":"example.org/shelf","Output":"FAIL\texample.org/shelf\t0.1s\n"}
{"Action":"fail","Package":"example.org/shelf"}
`
	endsGreen = `{"Action":"output","Package":"example.org/shelf","Output":"PASS\n"}
{"Action":"output","Package":"example.org/shelf","Output":"ok  \texample.org/shelf\t0.1s\n"}
{"Action":"pass","Package":"example.org/shelf"}
`
)

func entries(names ...string) []knownred.Entry {
	var list []knownred.Entry
	for i, name := range names {
		list = append(list, knownred.Entry{Test: knownred.Test{Package: shelf, Name: name}, Run: "seed 1", Seen: "x", Issue: 24, Line: i + 1})
	}
	return list
}

func suite(specs ...knownred.Spec) knownred.Suite {
	failed := slices.ContainsFunc(specs, func(s knownred.Spec) bool { return s.State == knownred.Failed })
	return knownred.Suite{Package: shelf, Test: "TestShelf", Passed: !failed, Specs: specs}
}

func read(events string) (knownred.Packages, string) {
	var out strings.Builder
	packages := knownred.Packages{}
	ExpectWithOffset(1, packages.Read(strings.NewReader(events), &out)).To(Succeed())
	return packages, out.String()
}

var _ = Describe("the verdict on a run", func() {
	sorts := knownred.Spec{Text: "sorts", State: knownred.Failed}
	lends := knownred.Spec{Text: "lends", State: knownred.Failed}
	holds := knownred.Spec{Text: "holds", State: knownred.Passed}
	counts := knownred.Spec{Text: "counts", State: knownred.NotRun}

	DescribeTable("is good if nothing but listed tests failed",
		func(events string, exitCode int, list []knownred.Entry, s knownred.Suite, failing, passing int) {
			packages, _ := read(events)
			v := knownred.Judge(list, packages, []knownred.Suite{s}, exitCode)
			Expect(v.Problems).To(BeEmpty())
			Expect(v.Good()).To(BeTrue())
			Expect(v.Failing).To(HaveLen(failing))
			Expect(v.Passing).To(HaveLen(passing))
		},
		Entry("one", suiteFails+plainPasses+endsRed, 1, entries("sorts"), suite(sorts, holds, counts), 1, 0),
		Entry("two", suiteFails+endsRed, 1, entries("sorts", "lends"), suite(sorts, lends), 2, 0),
		Entry("one beside a listed one that passed", suiteFails+endsRed, 1, entries("holds", "sorts"), suite(sorts, holds), 1, 1),
		Entry("none, with listed ones that passed", plainPasses+endsGreen, 0, entries("FuzzShelf"), suite(), 0, 1),
	)

	DescribeTable("is not good",
		func(events string, exitCode int, list []knownred.Entry, s knownred.Suite, problem string) {
			packages, _ := read(events)
			v := knownred.Judge(list, packages, []knownred.Suite{s}, exitCode)
			Expect(v.Good()).To(BeFalse())
			Expect(v.Problems).To(ContainElement(ContainSubstring(problem)))
		},
		Entry("after another failure", suiteFails+endsRed, 1, entries("sorts"), suite(sorts, lends), "example.org/shelf lends failed"),
		Entry("after a failed Go test without specs", suiteFails+endsRed, 1, entries("sorts"), knownred.Suite{}, "TestShelf failed"),
		Entry("if a listed test does not exist", suiteFails+endsRed, 1, entries("sorts", "flies"), suite(sorts), "no such test was run"),
		Entry("if a listed test was skipped", suiteFails+endsRed, 1, entries("sorts", "counts"), suite(sorts, counts), "line 2, but was not run"),
		Entry("if a whole suite is listed", suiteFails+endsRed, 1, entries("TestShelf"), suite(sorts), "runs a whole suite"),
		Entry("if two specs have the listed text", suiteFails+endsRed, 1, entries("sorts"), suite(sorts, sorts), "2 specs have this text"),
		Entry("if a suite failed beside its specs", suiteFails+endsRed, 1, entries("sorts"),
			knownred.Suite{Package: shelf, Test: "TestShelf", Specs: []knownred.Spec{sorts}, Problems: []string{"AfterSuite failed"}}, "AfterSuite failed"),
		Entry("if a suite failed without a failed spec", suiteFails+endsRed, 1, nil, suite(holds), "none of its specs"),
		Entry("if the process ended after a listed failure", suiteFails+closesRed, 1, entries("sorts"), suite(sorts), "ended before its last test"),
		Entry("if the package failed after its tests", plainPasses+endsRed, 1, entries("holds"), suite(holds), "outside its tests"),
		Entry("if the package did not end", suiteFails, 1, entries("sorts"), suite(sorts), "did not end"),
		Entry("if go test was killed", suiteFails+endsRed, -1, entries("sorts"), suite(sorts), "exited with -1"),
		Entry("if go test failed and no package did", plainPasses+endsGreen, 1, nil, suite(holds), "exited with 1"),
	)

	It("prints each listed test with its entry, and what else failed", func() {
		packages, _ := read(suiteFails + endsRed)
		v := knownred.Judge(entries("sorts", "holds"), packages, []knownred.Suite{suite(sorts, holds, lends)}, 1)
		var out strings.Builder
		Expect(v.Write(&out)).To(Succeed())
		Expect(out.String()).To(Equal(`known red: example.org/shelf sorts
    run: seed 1
    seen: x
    issue: 24
known red, but passed: example.org/shelf holds
    if it is mended, remove its entry from line 2 (issue 24)
not known red: example.org/shelf lends failed
1 known red, 1 known red but passed, 1 other failures
FAIL
`))
	})
})

var _ = Describe("the output of a run", func() {
	It("is the closing line of a package that passed, as go test prints it", func() {
		_, out := read(plainPasses + endsGreen)
		Expect(out).To(Equal("ok  \texample.org/shelf\t0.1s\n"))
	})
	It("has what a failed package wrote, before its closing line", func() {
		_, out := read(suiteFails + endsRed)
		Expect(out).To(Equal("expected 1\nFAIL\nFAIL\texample.org/shelf\t0.1s\n"))
	})
	It("has the compiler's output and lines that are no events", func() {
		build := `{"ImportPath":"example.org/shelf","Action":"build-output","Output":"shelf.go:1: undefined\n"}`
		_, out := read(fmt.Sprintf("go: warning\n%s\n", build))
		Expect(out).To(Equal("go: warning\nshelf.go:1: undefined\n"))
	})
})
