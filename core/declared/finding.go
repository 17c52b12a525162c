package declared

import (
	"fmt"
	"strings"
)

// Finding is one fault of a declared file.
type Finding struct {
	Check  string `json:"check"`
	File   string `json:"file"`
	Line   int    `json:"line"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// String returns the finding as file:line: check text; remedy.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s %s; %s", f.File, f.Line, f.Check, f.Text, f.Remedy)
}

// FindingsError is a rejected file set.
type FindingsError []Finding

// Error lists the findings, one a line.
func (f FindingsError) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}
