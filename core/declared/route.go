package declared

import "strings"

// Route declares a method and path of a plain service. A path that ends in /* matches every path below it.
type Route struct {
	Method     string `yaml:"method" json:"method"`
	Path       string `yaml:"path" json:"path"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent,omitempty"`
	// HedgeAfter is the time without a reply after which the call is also sent to a second upstream; zero means never.
	HedgeAfter Duration `yaml:"hedge_after" json:"hedge_after,omitempty"`
}

// Matches reports whether the route matches a call.
func (r Route) Matches(method, path string) bool {
	if r.Method != method {
		return false
	}
	if prefix, wild := strings.CutSuffix(r.Path, "/*"); wild {
		return strings.HasPrefix(path, prefix+"/")
	}
	return r.Path == path
}
