// Command docgen generates docs/errors.md and docs/events.md from the catalogues of faults and log events.
//
// # Usage
//
//	go run ./core/cmd/docgen docs
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: docgen DIRECTORY")
		os.Exit(1)
	}
	pages := map[string]string{"errors.md": errorsPage(), "events.md": eventsPage()}
	for name, text := range pages {
		if err := os.WriteFile(filepath.Join(os.Args[1], name), []byte(text), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func errorsPage() string {
	var b strings.Builder
	b.WriteString("# Errors\n\nGenerated from `core/fault`. A claim of `not_run` asserts that the work did not run and will not run.\n\n")
	b.WriteString("| number | code | status | claim | retry after | meaning | remedy |\n|---|---|---|---|---|---|---|\n")
	for _, k := range fault.Catalogue {
		retry := "-"
		if k.RetryAfter > 0 {
			retry = k.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| %s | `%s` | %d | `%s` | %s | %s | %s |\n", k.Number, k.Code, k.Status, k.Claim, retry, k.Title, k.Remedy)
	}
	return b.String()
}

func eventsPage() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from `core/event`. Each line of a log carries the number as `event`.\n\n")
	b.WriteString("| number | level | event | what to do |\n|---|---|---|---|\n")
	for _, k := range event.Catalogue {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", k.Number, k.Level, k.Title, k.Action)
	}
	return b.String()
}
