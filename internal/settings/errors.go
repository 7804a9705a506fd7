package settings

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// FileError is a fault in a YAML file. It is wrapped by Error.
type FileError struct {
	// File is the path as it was given, Line and Column are counted from 1; they
	// are 0 where the fault has no place in the file.
	File   string
	Line   int
	Column int
	// Message says what is wrong, Source shows the offending lines.
	Message string
	Source  string
}

// Error returns file, line, column and message, followed by the source.
func (e *FileError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	b.WriteString(": ")
	b.WriteString(e.Message)
	if e.Source != "" {
		b.WriteString("\n")
		b.WriteString(e.Source)
	}
	return b.String()
}

// Problem is a failed check of a value that need not come from a file.
type Problem struct {
	// Path is the place of the value, such as services[0].deadline.
	Path string
	// Message says what is wrong.
	Message string
}

// Error returns the place and the message.
func (p Problem) Error() string { return p.Path + ": " + p.Message }

// problems collects failed checks.
type problems []Problem

func (p *problems) addf(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// err returns the first problem as an error, or nil.
func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return Error.Wrap(p[0])
}
