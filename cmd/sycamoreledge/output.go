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

// print writes a value as JSON, or as text by the given function.
func (e *environment) print(value any, text func() error) error {
	if e.output != outputJSON {
		return text()
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return errs.Wrap(encoder.Encode(value))
}

// printf writes a line of text.
func (e *environment) printf(format string, args ...any) {
	fmt.Fprintf(e.stdout, format, args...)
}

// table writes rows in aligned columns under a header.
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
