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

// maxFileBytes is the largest size of a file that is read, in bytes.
const maxFileBytes = 64 << 20

// document is a parsed YAML file. The syntax tree is kept so that errors can name
// the line and column of a value.
type document struct {
	file string
	tree *ast.File
}

// readDocument reads a file, sets the defaults of the struct that dst points to,
// and decodes the file into it. Unknown and duplicate keys are errors.
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
		return nil, Error.Wrap(&FileError{File: path, Message: "the file is larger than the limit of 64 MiB"})
	}
	return data, nil
}

// parseDocument decodes and validates a file whose root is a mapping, after
// setting the defaults of the struct that dst points to.
func parseDocument(file string, data []byte, dst any) (*document, error) {
	setDefaults(reflect.ValueOf(dst).Elem())
	doc, err := decodeStrict(file, data, dst)
	if err != nil {
		return nil, err
	}
	if err := doc.validate(dst); err != nil {
		return nil, err
	}
	return doc, nil
}

// decodeStrict decodes a file into dst, a pointer to a struct or to a slice, and
// rejects unknown keys. It neither sets defaults nor validates.
func decodeStrict(file string, data []byte, dst any) (*document, error) {
	doc := &document{file: file}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, doc.decodeError(err)
	}
	doc.tree = tree
	if countDocuments(tree) != 1 {
		return nil, Error.Wrap(&FileError{File: file, Message: "the file must hold exactly one YAML document"})
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

func countDocuments(tree *ast.File) int {
	n := 0
	for _, d := range tree.Docs {
		if d.Body != nil {
			n++
		}
	}
	return n
}

// decodeError converts an error of the YAML library to a FileError with its
// position in the file.
func (d *document) decodeError(err error) error {
	var yerr yaml.Error
	if !errors.As(err, &yerr) || yerr.GetToken() == nil {
		return Error.Wrap(&FileError{File: d.file, Message: err.Error()})
	}
	return d.errorAtToken(yerr.GetToken(), yerr.GetMessage())
}

// firstError returns the first problem as a FileError with its position in the
// file, or nil when there is none.
func (d *document) firstError(found problems) error {
	if len(found) == 0 {
		return nil
	}
	return d.errorAt(found[0].Path, found[0].Message)
}

// errorAt returns an error at the position of the value at the path, such as
// services[0].deadline, or of its nearest ancestor that is present in the file.
func (d *document) errorAt(path, message string) error {
	for p := path; p != ""; p = parentPath(p) {
		if node := d.findNode(p); node != nil {
			if p != path {
				message = lastElement(path) + ": " + message
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
	ferr.Source = sourceExcerpt(tk)
	return Error.Wrap(ferr)
}

// sourceExcerpt returns the source lines around a token, with a marker below it.
func sourceExcerpt(tk *token.Token) string {
	text := yaml.FormatErrorWithToken("", tk, false, true)
	_, source, ok := strings.Cut(text, "\n")
	if !ok {
		return ""
	}
	return source
}

func (d *document) findNode(path string) ast.Node {
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

// parentPath returns a path without its last field or index.
func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func lastElement(path string) string {
	return strings.TrimPrefix(path[len(parentPath(path)):], ".")
}
