package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/testkit"
)

// binDir is the directory with the binaries under test.
var binDir string

func TestE2E(t *testing.T) { testkit.Run(t, "product end to end, with separate processes") }

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "bilberrylug")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binDir = dir
	for _, module := range []string{"router", "agent", "standin", "ctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, module), "bilberrylug.dev/"+module)
		build.Dir = filepath.Join("..", "..")
		out, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
})
