package knownred

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ReportsVariable names the environment variable with the directory to which suites write their reports.
const ReportsVariable = "BILBERRYLUG_SUITE_REPORTS"

// State is the outcome of a test.
type State string

// The outcomes of a test.
const (
	Passed State = "passed"
	Failed State = "failed"
	// NotRun is a test that was skipped, or that ended with its process.
	NotRun State = "not run"
)

// Suite is the report of a suite of specs that ran to its end.
type Suite struct {
	Package string `json:"package"`
	// Test is the Go test function that ran the suite.
	Test   string `json:"test"`
	Passed bool   `json:"passed"`
	// Problems are failures that belong to no single spec.
	Problems []string `json:"problems,omitempty"`
	Specs    []Spec   `json:"specs"`
}

// Spec is the outcome of one spec.
type Spec struct {
	Text  string `json:"text"`
	State State  `json:"state"`
}

// Write writes the report to a new file in the directory.
func (s Suite) Write(dir string) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, "suite-*.json")
	if err != nil {
		return err
	}
	_, err = f.Write(body)
	return errors.Join(err, f.Close())
}

func readSuites(dir string) ([]Suite, error) {
	files, err := filepath.Glob(filepath.Join(dir, "suite-*.json"))
	if err != nil {
		return nil, err
	}
	suites := make([]Suite, 0, len(files))
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var s Suite
		if err := json.Unmarshal(body, &s); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		suites = append(suites, s)
	}
	return suites, nil
}
