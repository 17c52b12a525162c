// Package standin plays the cases of the second review: it starts stand-ins of the platform's store, of runners and of clients, and the
// routers of the system as separate processes, and judges what the clients and the runners have seen. It is test code, so that it may name
// the platform's protocol; build-2.sh makes a program of it.
//
// # Usage
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves the
// disruption out.
package standin

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases maps the name of a case to the function that plays it.
var cases = map[string]func(rec *record, root string, trouble bool) (verdict, error){
	"stop-while-runners-pause": stopWhileRunnersPause,
	"batch-that-crashes":       batchThatCrashes,
	"late-part-that-crashes":   latePartThatCrashes,
	"models-that-crash":        modelsThatCrash,
	"spoiled-id":               spoiledID,
	"entry-of-another-writer":  entryFromAnotherWriter,
	"crash-after-crash":        crashAfterCrash,
}

// playLimit bounds a case.
const playLimit = 115 * time.Second

// TestMain plays the case that the command line names; there are no tests.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(playLimit, func() {
		rec.write("the case takes too long")
		os.Exit(2)
	})
	rec.write("case %s, disruption %t", os.Args[1], trouble)
	v, err := cases[os.Args[1]](rec, root, trouble)
	switch {
	case err != nil:
		rec.write("could not run: %s", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		rec.write("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return 1
	}
	rec.write("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}
