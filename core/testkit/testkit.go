// Package testkit runs the Ginkgo specs of a package.
//
// # Usage
//
//	func TestFleet(t *testing.T) { testkit.Run(t, "fleet") }
package testkit

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // Registers the flag rapid.seed.
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
	ginkgo.RunSpecs(t, name)
}
