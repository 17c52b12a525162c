// Command bilberrylug is the command-line tool for operators.
//
// # Usage
//
//	bilberrylug validate config/
//	bilberrylug apply --wait config/
package main

import (
	"context"
	"fmt"
	"os"

	"bilberrylug.dev/ctl/command"
)

func main() {
	err := command.New(os.Stdout).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(command.ExitCode(err))
}
