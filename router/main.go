// Command bilberrylug-router accepts requests from callers and forwards them to upstreams: through the agents on their VMs,
// or directly with the subcommand direct.
//
// # Usage
//
//	bilberrylug-router --settings router.yaml
//	bilberrylug-router direct --settings router.yaml
package main

import (
	"os"

	"bilberrylug.dev/core/process"
)

func main() {
	os.Exit(process.Run("bilberrylug-router", "run a router on an entry VM", process.Program{Serve: process.WithSettings(serveAgents)},
		process.Program{Name: "direct", Usage: "run a router that calls upstreams directly", Serve: process.WithSettingsPath(serveDirect)}))
}
