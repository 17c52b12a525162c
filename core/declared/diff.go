package declared

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// Difference is one part that differs between two configurations.
type Difference struct {
	Change string `json:"change"`
	Part   string `json:"part"`
	Name   string `json:"name"`
}

// String returns the difference on one line.
func (d Difference) String() string { return fmt.Sprintf("%s %s %s", d.Change, d.Part, d.Name) }

// Diff lists what differs from a to b, services first, in the order of names.
func Diff(a, b *Config) []Difference {
	services := diffPart("service", a.Services, b.Services, func(s Service) string { return string(s.Name) })
	workspaces := diffPart("workspace", a.Workspaces, b.Workspaces, func(w Workspace) string { return string(w.Name) })
	return append(services, workspaces...)
}

func diffPart[T any](part string, a, b []T, name func(T) string) []Difference {
	out := []Difference{}
	old := make(map[string]T)
	for _, x := range a {
		old[name(x)] = x
	}
	for _, x := range b {
		was, known := old[name(x)]
		if !known {
			out = append(out, Difference{"add", part, name(x)})
		} else if !reflect.DeepEqual(was, x) {
			out = append(out, Difference{"change", part, name(x)})
		}
		delete(old, name(x))
	}
	for gone := range old {
		out = append(out, Difference{"remove", part, gone})
	}
	slices.SortFunc(out, func(x, y Difference) int { return cmp.Compare(x.Name, y.Name) })
	return out
}
