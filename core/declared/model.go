package declared

import "bilberrylug.dev/core/ids"

// Model is a model version that a service's upstreams have to hold.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	Adapter string `yaml:"adapter" json:"adapter,omitempty"`
}

// ID returns the model's pinned identity.
func (m Model) ID() ids.Model {
	return ids.Model{Name: m.Name, Version: m.Version, Adapter: m.Adapter}
}
