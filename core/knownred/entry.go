// Package knownred holds a run of the tests against the list of known failures, KNOWN-RED.txt.
//
// A test is a Ginkgo spec, named by its full text, or a Go test function that runs no specs. All tests run. The verdict is
// good if every failure is listed and every listed test was run; a process that ends before its last test is never good, since
// the tests after it were not run.
//
// # Usage
//
//	entries, err := knownred.Parse(text)
//	err = knownred.Run(ctx, knownred.Options{Entries: entries, Command: []string{"go", "test", "./..."}, Out: os.Stdout, Err: os.Stderr})
package knownred

import (
	"fmt"
	"strconv"
	"strings"
)

// Entry is a test that is known to fail.
type Entry struct {
	Test Test
	// Run is the command with its seed that shows the failure.
	Run   string
	Seen  string
	Issue int
	// Line is the line of the entry's test.
	Line int
}

// Test names a test by its package's import path and its full text or function.
type Test struct {
	Package string
	Name    string
}

// String returns the test as it is written in the list.
func (t Test) String() string { return t.Package + " " + t.Name }

// EntryError is a malformed entry of the list.
type EntryError struct {
	Line   int
	Text   string
	Remedy string
}

// Error returns the line, what is wrong and the remedy.
func (e *EntryError) Error() string { return fmt.Sprintf("line %d: %s; %s", e.Line, e.Text, e.Remedy) }

const (
	labelTest  = "test"
	labelRun   = "run"
	labelSeen  = "seen"
	labelIssue = "issue"
)

// remedies has the labels of an entry with what belongs there.
var remedies = map[string]string{
	labelTest:  "write the package's import path and the test, \"test: example.org/module/package full text of the spec\"",
	labelRun:   "write the command with its seed, such as -ginkgo.seed=1 or -rapid.seed=1, or end it with \"# no seed\"",
	labelSeen:  "write what was seen, \"seen: ...\"",
	labelIssue: "write the number of the open issue, \"issue: 24\"",
}

// Parse reads the list: entries of four labelled lines, separated by blank lines, with comments after #. The error is an
// [EntryError].
func Parse(text string) ([]Entry, error) {
	p := parser{lines: map[Test]int{}}
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		var err error
		switch {
		case line == "":
			err = p.end()
		case !strings.HasPrefix(line, "#"):
			err = p.field(number+1, line)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := p.end(); err != nil {
		return nil, err
	}
	return p.entries, nil
}

type parser struct {
	entries []Entry
	entry   Entry
	// start is the first line of the open entry; zero if none is open.
	start  int
	labels map[string]bool
	// lines has the lines of the tests that were read.
	lines map[Test]int
}

func (p *parser) field(line int, text string) error {
	label, value, _ := strings.Cut(text, ":")
	value = strings.TrimSpace(value)
	remedy, known := remedies[label]
	if !known {
		return &EntryError{Line: line, Text: fmt.Sprintf("%q begins with no label", text), Remedy: "begin it with test:, run:, seen: or issue:"}
	}
	if p.start == 0 {
		p.entry, p.start, p.labels = Entry{}, line, map[string]bool{}
	}
	if p.labels[label] {
		return &EntryError{Line: line, Text: "the entry has a second " + label, Remedy: "put a blank line between entries"}
	}
	p.labels[label] = true
	if !p.set(label, value, line) {
		return &EntryError{Line: line, Text: fmt.Sprintf("%q is no %s", value, label), Remedy: remedy}
	}
	return nil
}

// set sets a field of the open entry. It returns false if the value is malformed.
func (p *parser) set(label, value string, line int) bool {
	switch label {
	case labelTest:
		pkg, name, _ := strings.Cut(value, " ")
		p.entry.Test = Test{Package: pkg, Name: normalize(name)}
		p.entry.Line = line
		return p.entry.Test.Name != ""
	case labelRun:
		p.entry.Run = value
		return strings.Contains(value, "seed")
	case labelSeen:
		p.entry.Seen = value
		return value != ""
	default:
		issue, err := strconv.Atoi(value)
		p.entry.Issue = issue
		return err == nil && issue > 0
	}
}

// end closes the open entry, if any.
func (p *parser) end() error {
	if p.start == 0 {
		return nil
	}
	for _, label := range []string{labelTest, labelRun, labelSeen, labelIssue} {
		if !p.labels[label] {
			return &EntryError{Line: p.start, Text: "the entry has no " + label, Remedy: remedies[label]}
		}
	}
	if first, ok := p.lines[p.entry.Test]; ok {
		return &EntryError{Line: p.entry.Line, Text: fmt.Sprintf("the test is listed on line %d as well", first), Remedy: "keep one entry for a test"}
	}
	p.lines[p.entry.Test] = p.entry.Line
	p.entries = append(p.entries, p.entry)
	p.start = 0
	return nil
}

// normalize makes one line of a spec's text.
func normalize(text string) string { return strings.Join(strings.Fields(text), " ") }
