package declared

import "bilberrylug.dev/core/ids"

// Workspace declares a tenant: its key, the services it may use and its limits over all routers.
type Workspace struct {
	Name              ids.Workspace `yaml:"name" json:"name"`
	KeyHash           string        `yaml:"key_hash" json:"key_hash"`
	Services          []ids.Service `yaml:"services" json:"services"`
	RequestsPerSecond float64       `yaml:"requests_per_second" json:"requests_per_second"`
	MaxRunning        int           `yaml:"max_running" json:"max_running"`
}
