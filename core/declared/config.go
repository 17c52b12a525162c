// Package declared defines the configuration that operators declare: its file format, validation, division into chunks
// and diff.
//
// # Usage
//
//	cfg, err := declared.Parse([]declared.File{{Name: "lug.yaml", Body: body}})
//	if err != nil { ... } // lists file, line and remedy of every finding
package declared

import (
	"bilberrylug.dev/core/ids"
)

// Config is the complete declared configuration.
type Config struct {
	Services   []Service   `yaml:"services" json:"services"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Drained lists the VMs that operators drained by command. It is not part of the files, and applying files keeps it.
	Drained []ids.VM `yaml:"-" json:"drained"`
}

// Service returns the service with the given name.
func (c *Config) Service(name ids.Service) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Workspace returns the workspace with the given name.
func (c *Config) Workspace(name ids.Workspace) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}
