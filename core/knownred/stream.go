package knownred

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// testEvent is a line of go test -json, as defined by test2json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
	// FailedBuild is the package whose build failed, if one did.
	FailedBuild string
}

const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// packageResult is the outcome of a package.
type packageResult struct {
	// state is NotRun until the package has ended.
	state State
	// unbuilt is set if the package or a dependency was not built.
	unbuilt bool
	// complete is set if the test process of a failed package ended by itself, after its last test.
	complete bool
	// tests has the state of each Go test function.
	tests map[string]State
	// output is what the package wrote, by line.
	output []string
}

// Packages are the outcomes of the packages by import path.
type Packages map[string]*packageResult

// Read reads the events of go test -json and writes what go test prints without the flag.
func (p Packages) Read(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			text := p.apply(line)
			if _, err := io.WriteString(out, text); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// apply records a line and returns the text to print.
func (p Packages) apply(line []byte) string {
	var e testEvent
	if !bytes.HasPrefix(line, []byte("{")) || json.Unmarshal(line, &e) != nil {
		return string(line)
	}
	if e.Package == "" {
		return e.Output // The compiler's output.
	}
	result := p[e.Package]
	if result == nil {
		result = &packageResult{state: NotRun, tests: map[string]State{}}
		p[e.Package] = result
	}
	if e.Test != "" {
		result.applyTest(e)
		return ""
	}
	switch e.Action {
	case actionOutput:
		result.output = append(result.output, e.Output)
		result.complete = result.complete || e.Output == "FAIL\n"
	case actionPass, actionSkip:
		result.state = Passed
		return result.closingLine()
	case actionFail:
		result.state = Failed
		result.unbuilt = e.FailedBuild != ""
		return strings.Join(result.output, "")
	}
	return ""
}

func (p *packageResult) applyTest(e testEvent) {
	if e.Action == actionOutput {
		if !isFraming(e.Output) {
			p.output = append(p.output, e.Output)
		}
		return
	}
	if strings.Contains(e.Test, "/") {
		return // A failed subtest fails its function.
	}
	switch e.Action {
	case actionRun, actionSkip:
		p.tests[e.Test] = NotRun
	case actionPass:
		p.tests[e.Test] = Passed
	case actionFail:
		p.tests[e.Test] = Failed
	}
}

func (p *packageResult) closingLine() string {
	if len(p.output) == 0 {
		return ""
	}
	return p.output[len(p.output)-1]
}

// isFraming returns whether a line is printed by go test only because -json implies -v.
func isFraming(line string) bool {
	line = strings.TrimLeft(line, " ")
	for _, prefix := range []string{"=== ", "--- PASS: ", "--- SKIP: "} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}
