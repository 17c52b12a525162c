// Package declared holds the configuration that operators declare: its format, its checks, its division into chunks,
// and the difference between two of them.
//
// # Usage
//
//	cfg, err := declared.Parse([]declared.File{{Name: "lug.yaml", Body: body}})
//	if err != nil { ... } // names file, line and remedy of every finding
package declared

import (
	"bilberrylug.dev/core/ids"
)

// Config is a whole declared configuration.
type Config struct {
	Services   []Service   `yaml:"services" json:"services"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Drained lists the VMs that operators have drained by command. It is not part of the files, and an apply keeps it.
	Drained []ids.VM `yaml:"-" json:"drained"`
}

// Service returns the service of that name.
func (c *Config) Service(name ids.Service) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Workspace returns the workspace of that name.
func (c *Config) Workspace(name ids.Workspace) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}
