package knownred_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/knownred"
)

const twoEntries = `# Fix these first.

test: example.org/a the shelf  sorts its books
run: go test ./a -rapid.seed=7
seen: two books swapped: "A", "B"
issue: 24

# This one is flaky.
issue: 25
test: example.org/b TestPlain
run: go test ./b -run TestPlain # no seed
seen: a timeout
`

var _ = Describe("the list of known failures", func() {
	It("has an entry for each test, with its command, what was seen and its issue", func() {
		entries, err := knownred.Parse(twoEntries)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(Equal([]knownred.Entry{
			{
				Test: knownred.Test{Package: "example.org/a", Name: "the shelf sorts its books"},
				Run:  "go test ./a -rapid.seed=7", Seen: `two books swapped: "A", "B"`, Issue: 24, Line: 3,
			},
			{
				Test: knownred.Test{Package: "example.org/b", Name: "TestPlain"},
				Run:  "go test ./b -run TestPlain # no seed", Seen: "a timeout", Issue: 25, Line: 10,
			},
		}))
	})
	It("may have comments only", func() {
		Expect(knownred.Parse("# Nothing is red.\n\n")).To(BeEmpty())
	})

	DescribeTable("is rejected with the line and the remedy",
		func(text string, line int, problem, remedy string) {
			_, err := knownred.Parse(text)
			var entry *knownred.EntryError
			Expect(errors.As(err, &entry)).To(BeTrue(), "%v", err)
			Expect(entry.Line).To(Equal(line))
			Expect(entry.Text).To(ContainSubstring(problem))
			Expect(entry.Remedy).To(ContainSubstring(remedy))
			Expect(err.Error()).To(ContainSubstring("line "))
		},
		Entry("without a test", "\nrun: x -seed=1\nseen: y\nissue: 1\n", 2, "no test", "import path"),
		Entry("without a command", "test: a b\nseen: y\nissue: 1", 1, "no run", "command with its seed"),
		Entry("without what was seen", "test: a b\nrun: x -seed=1\nissue: 1", 1, "no seen", "what was seen"),
		Entry("without an issue", "test: a b\nrun: x -seed=1\nseen: y\n", 1, "no issue", "open issue"),
		Entry("with a command without a seed", "test: a b\nrun: x\nseen: y\nissue: 1", 2, `"x" is no run`, "no seed"),
		Entry("with an empty field", "test: a b\nrun: x -seed=1\nseen:\nissue: 1", 3, `"" is no seen`, "what was seen"),
		Entry("with a package alone", "test: a\nrun: x -seed=1\nseen: y\nissue: 1", 1, `"a" is no test`, "full text"),
		Entry("with a word for an issue", "test: a b\nrun: x -seed=1\nseen: y\nissue: none", 4, `"none" is no issue`, "number"),
		Entry("with an unknown label", "test: a b\nbecause: z", 2, "no label", "begin it with"),
		Entry("with a blank line missing", "test: a b\nrun: x -seed=1\nseen: y\nissue: 1\ntest: c d", 5, "second test", "blank line"),
		Entry("with a blank line too many", "test: a b\n\nrun: x -seed=1\nseen: y\nissue: 1", 1, "no run", "command"),
		Entry("with a test listed twice", "test: a b\nrun: x -seed=1\nseen: y\nissue: 1\n\n"+
			"test: a  b\nrun: x -seed=1\nseen: y\nissue: 1", 6, "line 1 as well", "one entry"),
	)
})
