// Package standin holds the stand-ins of the review's cases. They are test code, so that they may name the platform's protocol; build.sh
// makes a program of them, which runs one case: it starts the stand-ins of the platform, the runners and the clients in its own process and
// the project's router as separate processes, and checks one rule.
//
//	review-standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// scenario is what a case works with. trouble is false if the disruption is left out.
type scenario struct {
	rec     *record
	dir     string
	trouble bool
}

var cases = map[string]func(*scenario) (broken int, err error){
	"reused-address": reusedAddress,
	"stale-config":   staleConfig,
	"missed-removal": missedRemoval,
	"foreign-memory": foreignMemory,
}

// TestMain runs the case that the command line names; there are no tests.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	broken, err := cases[os.Args[1]](&scenario{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.line("the case could not run: %s", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken > 0:
		rec.line("the rule was broken %d times", broken)
		fmt.Println("the rule was broken", broken, "times")
		return 1
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
