// Package explain collects the log lines of one request from the logs of several
// instances and prints them in chronological order.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("explain")

// maxLineBytes is the maximum length of a log line. A longer line ends the scan
// with an error.
const maxLineBytes = 1 << 20

// Line is a parsed log line of an event.
type Line struct {
	// Source is the name of the log file, followed by any text that precedes the
	// log line proper, such as a host name added by a log collector.
	Source string
	Time   time.Time
	Event  string
	Fields []Field
}

// Field is a key-value pair of a log line.
type Field struct{ Key, Value string }

// Get returns the value of the key, or "" if the line does not have it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Find returns the lines of a log in logfmt or JSON whose request field equals
// the request id. Lines that cannot be parsed are skipped. It returns an error
// if the log cannot be read or a line exceeds 1 MiB.
func Find(log io.Reader, source, request string) ([]Line, error) {
	var matches []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), request) {
			continue
		}
		line, ok := Parse(scanner.Text())
		if !ok || line.Get("request") != request {
			continue
		}
		line.Source = strings.TrimSpace(source + " " + line.Source)
		matches = append(matches, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, Error.New("%s: %w", source, err)
	}
	return matches, nil
}

// Sort sorts lines by time, and keeps the order of lines with equal times.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Parse parses a log line of the daemon, in logfmt or JSON. It returns false for a
// line without an event name or a valid time.
func Parse(text string) (Line, bool) {
	var line Line
	if at := strings.IndexByte(text, '{'); at >= 0 && strings.Contains(text[at:], `"event":`) {
		line.Source = text[:at]
		line.Fields = parseJSON(text[at:])
	} else if at := strings.Index(text, "time="); at >= 0 {
		line.Source = text[:at]
		line.Fields = parseLogfmt(text[at:])
	}
	line.Event = line.Get("name")
	if line.Event == "" {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Get("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	return line, true
}

func parseJSON(text string) []Field {
	var values map[string]any
	if json.Unmarshal([]byte(text), &values) != nil {
		return nil
	}
	var fields []Field
	for key, value := range values {
		fields = append(fields, Field{key, fmt.Sprint(value)})
	}
	slices.SortFunc(fields, func(a, b Field) int { return strings.Compare(a.Key, b.Key) })
	return fields
}

// parseLogfmt parses key=value pairs; values with spaces are quoted. It stops at
// the first malformed pair and returns the pairs before it.
func parseLogfmt(text string) []Field {
	var fields []Field
	for text = strings.TrimLeft(text, " "); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || strings.ContainsAny(key, " \"") {
			return fields
		}
		value := rest
		if strings.HasPrefix(rest, `"`) {
			end := closingQuote(rest)
			if end < 0 {
				return fields
			}
			value, text = unquote(rest[1:end]), rest[end+1:]
		} else if at := strings.IndexByte(rest, ' '); at >= 0 {
			value, text = rest[:at], rest[at:]
		} else {
			text = ""
		}
		fields = append(fields, Field{key, value})
	}
	return fields
}

// closingQuote returns the index of the quote that ends the quoted string at the
// start of text, or -1.
func closingQuote(text string) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

func unquote(text string) string {
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`, `\n`, "\n").Replace(text)
}

// hiddenKeys are the keys that Write omits: those that it prints in the heading of
// a line, those without information about the request, and the request id, which
// is the same on all lines.
var hiddenKeys = []string{"time", "level", "msg", "event", "name", "request"}

// Write prints the lines of a request as text: a heading with time, event and
// source, then one line for each non-empty field. Values with several parts,
// separated by "; ", take one line for each part.
func Write(w io.Writer, lines []Line) error {
	for i := range lines {
		line := &lines[i]
		if _, err := fmt.Fprintf(w, "%s  %s  %s\n", line.Time.Format("15:04:05.000"), line.Event, line.Source); err != nil {
			return Error.Wrap(err)
		}
		for _, f := range line.Fields {
			if slices.Contains(hiddenKeys, f.Key) || f.Value == "" {
				continue
			}
			for _, part := range strings.Split(f.Value, "; ") {
				if _, err := fmt.Fprintf(w, "    %-12s %s\n", f.Key, part); err != nil {
					return Error.Wrap(err)
				}
			}
		}
	}
	return nil
}
