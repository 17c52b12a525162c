// Command bilberrylug-bench sends load through the routers and checks every answer. It also compares load-balancing
// policies, and ways to bring changes to all routers, in simulated time.
//
// # Usage
//
//	bilberrylug-bench answers --router http://127.0.0.1:8080 --key growers.secret --count 8 --tokens 300
//	bilberrylug-bench policy --results results
//	bilberrylug-bench dissemination --routers 4,33,300 --results results
package main

import (
	"context"
	"fmt"
	"os"

	"bilberrylug.dev/bench/command"
)

func main() {
	if err := command.New(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
