package inforce_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestInforce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inforce")
}
