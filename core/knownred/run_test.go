package knownred_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/knownred"
)

const testdata = "bilberrylug.dev/core/knownred/testdata/"

var _ = Describe("a run of go test", func() {
	run := func(ctx context.Context, packages []string, tests ...knownred.Test) (string, error) {
		var list []knownred.Entry
		for _, t := range tests {
			list = append(list, knownred.Entry{Test: t, Run: "seed 1", Seen: "x", Issue: 24})
		}
		var out, stderr bytes.Buffer
		err := knownred.Run(ctx, knownred.Options{Entries: list, Command: append([]string{"go", "test"}, packages...), Out: &out, Err: &stderr})
		return out.String(), err
	}
	red := func(name string) knownred.Test { return knownred.Test{Package: testdata + "red", Name: name} }
	all := []knownred.Test{red("TestPlain"), red("a shelf sorts its books"), red("a shelf lends its books")}

	It("succeeds if its failures are listed, and prints them", func(ctx SpecContext) {
		out, err := run(ctx, []string{testdata + "red", "bilberrylug.dev/core/ids"}, append(all, red("TestSound"))...)
		Expect(err).NotTo(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("known red: " + testdata + "red a shelf sorts its books\n"))
		Expect(out).To(ContainSubstring("known red, but passed: " + testdata + "red TestSound\n"))
		Expect(out).To(ContainSubstring("sorting failure"))
		Expect(out).To(ContainSubstring("\nFAIL\t" + testdata + "red\t"))
		Expect(out).To(ContainSubstring("?   \tbilberrylug.dev/core/ids\t[no test files]\n"))
	})
	It("fails if a failure is not listed, or a listed test was skipped", func(ctx SpecContext) {
		out, err := run(ctx, []string{testdata + "red"}, append(all[:2:2], red("a shelf counts its books"))...)
		Expect(err).To(MatchError(knownred.ErrNotGood))
		Expect(out).To(ContainSubstring("not known red: " + testdata + "red a shelf lends its books failed\n"))
		Expect(out).To(ContainSubstring("a shelf counts its books is listed on line 0, but was not run\n"))
	})
	It("fails if a package is not built", func(ctx SpecContext) {
		out, err := run(ctx, []string{testdata + "red", testdata + "broken"}, all...)
		Expect(err).To(MatchError(knownred.ErrNotGood))
		Expect(out).To(ContainSubstring("undefined: undefined"))
		Expect(out).To(ContainSubstring("not known red: " + testdata + "broken was not built\n"))
	})
	It("fails if a process ends before its last test, whatever is listed", func(ctx SpecContext) {
		out, err := run(ctx, []string{testdata + "crash"}, knownred.Test{Package: testdata + "crash", Name: "a shelf falls"},
			knownred.Test{Package: testdata + "crash", Name: "TestCrash"})
		Expect(err).To(MatchError(knownred.ErrNotGood))
		Expect(out).To(ContainSubstring("panic: fallen"))
		Expect(out).To(ContainSubstring("a shelf falls is listed on line 0, but no such test was run"))
		Expect(out).To(ContainSubstring("crash ended before its last test\n"))
	})
	It("fails if a suite failed beside its listed spec, or did not run others", func(ctx SpecContext) {
		out, err := run(ctx, []string{testdata + "partial"}, knownred.Test{Package: testdata + "partial", Name: "a shelf falls"})
		Expect(err).To(MatchError(knownred.ErrNotGood))
		for _, problem := range []string{"AfterSuite failed", "specs are focused, so others are not run", "a shelf is put up again was not run"} {
			Expect(out).To(ContainSubstring("not known red: " + testdata + "partial TestPartial: " + problem + "\n"))
		}
	})
	It("runs nothing but go test", func(ctx SpecContext) {
		err := knownred.Run(ctx, knownred.Options{Command: []string{"true"}})
		Expect(err).To(MatchError(knownred.ErrNoGoTest))
	})
})
