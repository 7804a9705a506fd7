package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

const outputJSON = "json"

// print writes the value as JSON if that is the output format, and otherwise calls
// text.
func (e *environment) print(value any, text func() error) error {
	if e.output != outputJSON {
		return text()
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return errs.Wrap(encoder.Encode(value))
}

// printf writes formatted text to the standard output.
func (e *environment) printf(format string, args ...any) {
	fmt.Fprintf(e.stdout, format, args...)
}

// table writes a header and rows in aligned columns.
func (e *environment) table(header []string, rows [][]string) error {
	const padding = 2
	w := tabwriter.NewWriter(e.stdout, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errs.Wrap(w.Flush())
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
