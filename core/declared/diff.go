package declared

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// Difference is one service or workspace that differs between two configurations. Change is add, change or remove; Part is
// service or workspace.
type Difference struct {
	Change string `json:"change"`
	Part   string `json:"part"`
	Name   string `json:"name"`
}

// String returns change, part and name on one line.
func (d Difference) String() string { return fmt.Sprintf("%s %s %s", d.Change, d.Part, d.Name) }

// Diff lists the changes from a to b: services first, then workspaces, each sorted by name.
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
		before, known := old[name(x)]
		if !known {
			out = append(out, Difference{"add", part, name(x)})
		} else if !reflect.DeepEqual(before, x) {
			out = append(out, Difference{"change", part, name(x)})
		}
		delete(old, name(x))
	}
	for removed := range old {
		out = append(out, Difference{"remove", part, removed})
	}
	slices.SortFunc(out, func(x, y Difference) int { return cmp.Compare(x.Name, y.Name) })
	return out
}
