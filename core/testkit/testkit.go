// Package testkit runs the Ginkgo specs of a package.
//
// # Usage
//
//	func TestFleet(t *testing.T) { testkit.Run(t, "fleet") }
package testkit

import (
	"flag"
	"os"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // Registers the flag rapid.seed.

	"bilberrylug.dev/core/knownred"
)

// seed makes the property tests reproducible; -rapid.seed overrides it.
const seed = "20261204"

// Run runs the specs of the calling package as one Go test.
func Run(t *testing.T, name string) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(seed)
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	dir := os.Getenv(knownred.ReportsVariable)
	if dir == "" {
		ginkgo.RunSpecs(t, name)
		return
	}
	var report types.Report
	// Nodes registered last run last, so the report has the failures of the others.
	ginkgo.ReportAfterSuite("the suite's report", func(r types.Report) { report = r })
	passed := ginkgo.RunSpecs(t, name)
	if err := suite(t.Name(), passed, report).Write(dir); err != nil {
		t.Error(err)
	}
}

func suite(test string, passed bool, report types.Report) knownred.Suite {
	s := knownred.Suite{Package: packagePath(), Test: test, Passed: passed, Problems: report.SpecialSuiteFailureReasons}
	if report.SuiteHasProgrammaticFocus {
		s.Problems = append(s.Problems, "specs are focused, so others are not run")
	}
	for _, spec := range report.SpecReports {
		state := stateOf(spec.State)
		switch {
		case spec.LeafNodeType == types.NodeTypeIt:
			s.Specs = append(s.Specs, knownred.Spec{Text: spec.FullText(), State: state})
		case state == knownred.Failed:
			s.Problems = append(s.Problems, spec.LeafNodeType.String()+" failed")
		}
		if spec.State.Is(types.SpecStateAborted | types.SpecStateInterrupted) {
			s.Problems = append(s.Problems, spec.FullText()+" ended the suite")
		}
		if spec.IsInOrderedContainer && state == knownred.NotRun {
			s.Problems = append(s.Problems, spec.FullText()+" was not run")
		}
	}
	return s
}

func stateOf(state types.SpecState) knownred.State {
	switch {
	case state.Is(types.SpecStateFailureStates):
		return knownred.Failed
	case state.Is(types.SpecStatePassed):
		return knownred.Passed
	default:
		return knownred.NotRun
	}
}

// packagePath returns the import path of the package under test.
func packagePath() string {
	info, _ := debug.ReadBuildInfo()
	if info == nil {
		return ""
	}
	return strings.TrimSuffix(info.Path, ".test")
}
