package declared

import (
	"fmt"
	"strings"
)

// Finding is one problem in a declared file, with its line and remedy.
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

// FindingsError lists the problems for which a set of files was rejected.
type FindingsError []Finding

// Error returns the findings, one per line.
func (f FindingsError) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}
