package declared

import "bilberrylug.dev/core/ids"

// Model is a model version that the upstreams of a service must have loaded.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	Adapter string `yaml:"adapter" json:"adapter,omitempty"`
}

// ID returns the model's name, version and adapter as an identifier.
func (m Model) ID() ids.Model {
	return ids.Model{Name: m.Name, Version: m.Version, Adapter: m.Adapter}
}
