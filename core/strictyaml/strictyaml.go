// Package strictyaml decodes YAML documents. Unknown fields are errors, and a document on which the library panics is malformed
// like any other: a broken file must not end a running process.
//
// # Usage
//
//	err := strictyaml.Decode(body, &settings)
package strictyaml

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Decode decodes a document into out. The error is io.EOF for an empty document.
func Decode(body []byte, out any) (err error) {
	defer recoverAsError(&err)
	return yaml.NewDecoder(bytes.NewReader(body), yaml.Strict()).Decode(out)
}

// Parse returns the syntax tree of a document.
func Parse(body []byte) (file *ast.File, err error) {
	defer recoverAsError(&err)
	return parser.ParseBytes(body, 0)
}

func recoverAsError(err *error) {
	if value := recover(); value != nil {
		*err = fmt.Errorf("malformed document: %v", value)
	}
}
