// Command bilberrylug-router speaks to callers and leads their work to upstreams.
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
		process.Program{Name: "direct", Usage: "run a router that speaks to upstreams itself", Serve: process.WithSettingsPath(serveDirect)}))
}
