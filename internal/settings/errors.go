package settings

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// FileError is an error in a settings file. It is wrapped by Error.
type FileError struct {
	// File is the path as it was given. Line and Column start at 1; both are 0
	// when the error has no position in the file.
	File    string
	Line    int
	Column  int
	Message string
	// Source is an excerpt of the offending lines, or empty.
	Source string
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

// Problem is a failed check of a value, which need not come from a file.
type Problem struct {
	// Path locates the value, such as services[0].deadline.
	Path    string
	Message string
}

// Error returns the path and the message.
func (p Problem) Error() string { return p.Path + ": " + p.Message }

type problems []Problem

func (p *problems) addf(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// firstError returns the first problem as an error, or nil when there is none.
func (p problems) firstError() error {
	if len(p) == 0 {
		return nil
	}
	return Error.Wrap(p[0])
}
