package settings

import (
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxFileBytes bounds the size of a YAML file.
const maxFileBytes = 64 << 20

// document is a parsed YAML file, kept to show the place of a fault.
type document struct {
	file string
	tree *ast.File
}

// readDocument reads the file and decodes it strictly into the struct that dst
// points to, after setting its defaults.
func readDocument(path string, dst any) (*document, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseDocument(path, data, dst)
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > maxFileBytes {
		return nil, Error.Wrap(&FileError{File: path, Message: "the file is larger than 64 MB"})
	}
	return data, nil
}

// parseDocument decodes and validates a file that holds one struct.
func parseDocument(file string, data []byte, dst any) (*document, error) {
	setDefaults(reflect.ValueOf(dst).Elem())
	doc, err := parseList(file, data, dst)
	if err != nil {
		return nil, err
	}
	if err := doc.validate(dst); err != nil {
		return nil, err
	}
	return doc, nil
}

// parseList decodes a file whose root may be a list.
func parseList(file string, data []byte, dst any) (*document, error) {
	doc := &document{file: file}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, doc.decodeError(err)
	}
	doc.tree = tree
	if countBodies(tree) != 1 {
		return nil, Error.Wrap(&FileError{File: file, Message: "the file must hold one YAML document"})
	}
	if err := doc.checkDurations(tree, reflect.TypeOf(dst).Elem()); err != nil {
		return nil, err
	}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(dst); err != nil {
		return nil, doc.decodeError(err)
	}
	return doc, nil
}

func countBodies(tree *ast.File) int {
	n := 0
	for _, d := range tree.Docs {
		if d.Body != nil {
			n++
		}
	}
	return n
}

// decodeError gives an error of the YAML library its place in the file.
func (d *document) decodeError(err error) error {
	var yerr yaml.Error
	if !errors.As(err, &yerr) || yerr.GetToken() == nil {
		return Error.Wrap(&FileError{File: d.file, Message: err.Error()})
	}
	return d.errorAtToken(yerr.GetToken(), yerr.GetMessage())
}

// fail returns the first problem as an error with its place in the file.
func (d *document) fail(found problems) error {
	if len(found) == 0 {
		return nil
	}
	return d.errorAt(found[0].Path, found[0].Message)
}

// errorAt returns an error about the value at the path, such as
// services[0].deadline, or about the nearest value around it that is present.
func (d *document) errorAt(path, message string) error {
	for p := path; p != ""; p = parentPath(p) {
		if node := d.find(p); node != nil {
			if p != path {
				message = lastPart(path) + ": " + message
			}
			return d.errorAtToken(node.GetToken(), message)
		}
	}
	return d.errorAtToken(firstToken(d.tree), path+": "+message)
}

func firstToken(tree *ast.File) *token.Token {
	for _, doc := range tree.Docs {
		if doc.Body != nil {
			return doc.Body.GetToken()
		}
	}
	return nil
}

func (d *document) errorAtToken(tk *token.Token, message string) error {
	ferr := &FileError{File: d.file, Message: message}
	if tk == nil {
		return Error.Wrap(ferr)
	}
	ferr.Line = tk.Position.Line
	ferr.Column = tk.Position.Column
	ferr.Source = sourceOf(tk)
	return Error.Wrap(ferr)
}

// sourceOf returns the lines around a token with a mark below it.
func sourceOf(tk *token.Token) string {
	text := yaml.FormatErrorWithToken("", tk, false, true)
	_, source, ok := strings.Cut(text, "\n")
	if !ok {
		return ""
	}
	return source
}

func (d *document) find(path string) ast.Node {
	root := "$."
	if strings.HasPrefix(path, "[") {
		root = "$"
	}
	p, err := yaml.PathString(root + path)
	if err != nil {
		return nil
	}
	node, err := p.FilterFile(d.tree)
	if err != nil {
		return nil
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key
	}
	return node
}

// parentPath cuts the last field or index off a path.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func lastPart(path string) string {
	return strings.TrimPrefix(path[len(parentPath(path)):], ".")
}
