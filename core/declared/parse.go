package declared

import (
	"errors"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"bilberrylug.dev/core/strictyaml"
)

// File is the name and content of one declared file.
type File struct {
	Name string
	Body []byte
}

// document is a parsed file. The syntax tree gives the line numbers of findings.
type document struct {
	file File
	cfg  Config
	tree *ast.File
}

// Parse decodes a set of files, validates them together and applies the defaults. The error is a [FindingsError].
func Parse(files []File) (*Config, error) {
	var findings FindingsError
	var documents []document
	for _, f := range files {
		d, found := parseFile(f)
		findings = append(findings, found...)
		documents = append(documents, d)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	merged := merge(documents)
	if findings = check(documents, merged); len(findings) > 0 {
		return nil, findings
	}
	merged.applyDefaults()
	return merged, nil
}

func parseFile(f File) (document, FindingsError) {
	d := document{file: f}
	if err := strictyaml.Decode(f.Body, &d.cfg); err != nil && !errors.Is(err, io.EOF) {
		return d, FindingsError{syntaxFinding(f, err)}
	}
	tree, err := strictyaml.Parse(f.Body)
	if err != nil {
		return d, FindingsError{syntaxFinding(f, err)}
	}
	d.tree = tree
	return d, nil
}

func syntaxFinding(f File, err error) Finding {
	found := Finding{Check: "CF0001", File: f.Name, Line: 1, Text: err.Error(), Remedy: "correct the syntax"}
	var typed yaml.Error
	if !errors.As(err, &typed) {
		return found
	}
	found.Text = typed.GetMessage()
	if token := typed.GetToken(); token != nil {
		found.Line = token.Position.Line
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		found.Check = "CF0002"
		found.Remedy = "remove the field or correct its name; docs/settings.md lists the known ones"
	}
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		found.Check = "CF0003"
		found.Remedy = "write a value of the type that docs/settings.md gives"
	}
	return found
}

func merge(documents []document) *Config {
	out := &Config{}
	for _, d := range documents {
		out.Services = append(out.Services, d.cfg.Services...)
		out.Workspaces = append(out.Workspaces, d.cfg.Workspaces...)
	}
	return out
}

// line returns the line number of a YAML path, or that of its nearest existing parent.
func (d document) line(path string) int {
	for path != "" && path != "$" {
		if p, err := yaml.PathString(path); err == nil {
			if node, err := p.FilterFile(d.tree); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		path = parentPath(path)
	}
	return 1
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return "$"
}
