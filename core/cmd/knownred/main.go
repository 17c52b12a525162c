// Command knownred runs go test and succeeds if nothing fails but the tests listed in a file.
//
// # Usage
//
//	go run ./core/cmd/knownred KNOWN-RED.txt go test ./core/...
package main

import (
	"context"
	"fmt"
	"os"

	"bilberrylug.dev/core/knownred"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred FILE go test ARGUMENTS")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file string, command []string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	entries, err := knownred.Parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return knownred.Run(context.Background(), knownred.Options{Entries: entries, Command: command, Out: os.Stdout, Err: os.Stderr})
}
