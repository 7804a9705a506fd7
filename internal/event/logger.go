package event

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("event")

// Options configures a Logger.
type Options struct {
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string
	// Format is text, json or logfmt.
	Format string
	// Now is the clock of the rate limit; nil means time.Now.
	Now func() time.Time
}

// Logger writes and counts numbered events. It is safe for concurrent use and never
// blocks on its output. A nil Logger discards everything.
type Logger struct {
	out    *log.Logger
	writer *asyncWriter
	now    func() time.Time
	state  map[ID]*eventState
}

// eventState is the state of a Logger for one kind of event.
type eventState struct {
	definition Definition
	count      atomic.Uint64
	limit      bucket
}

var formatters = map[string]log.Formatter{
	"":       log.TextFormatter,
	"text":   log.TextFormatter,
	"json":   log.JSONFormatter,
	"logfmt": log.LogfmtFormatter,
}

// New returns a logger that writes to w. Close writes the queued lines.
func New(w io.Writer, opts Options) (*Logger, error) {
	formatter, ok := formatters[opts.Format]
	if !ok {
		return nil, Error.New("unknown log format %q: expected text, json or logfmt", opts.Format)
	}
	level, err := parseLevel(opts.Level)
	if err != nil {
		return nil, err
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	writer := newAsyncWriter(w)
	out := log.NewWithOptions(writer, log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	})
	return newLogger(out, writer, opts.Now), nil
}

// Discard returns a logger that counts events and writes none, for use in tests.
func Discard() *Logger {
	out := log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
	return newLogger(out, nil, time.Now)
}

func newLogger(out *log.Logger, writer *asyncWriter, now func() time.Time) *Logger {
	state := make(map[ID]*eventState, len(catalogue))
	for _, d := range catalogue {
		state[d.ID] = &eventState{definition: d, limit: newBucket(d.ID)}
	}
	return &Logger{out: out, writer: writer, now: now, state: state}
}

func parseLevel(name string) (log.Level, error) {
	if name == "" {
		return log.InfoLevel, nil
	}
	level, err := log.ParseLevel(name)
	if err != nil {
		return 0, Error.New("unknown log level %q: expected debug, info, warn or error", name)
	}
	return level, nil
}

// Log counts an event and writes it with its fields. The fields are keys from the
// catalogue, each followed by its value; a nil value is omitted. The rate of each
// kind of event is limited; the next event written after a suppression carries the
// number of suppressed ones.
func (l *Logger) Log(id ID, fields ...any) {
	if l == nil {
		return
	}
	state, ok := l.state[id]
	if !ok {
		return
	}
	state.count.Add(1)
	if state.definition.Level < l.out.GetLevel() {
		return
	}
	suppressed, ok := state.limit.allow(l.now())
	if !ok {
		return
	}
	l.out.Log(state.definition.Level, state.definition.Message, l.pairs(state, suppressed, fields)...)
}

// pairs returns the key-value pairs of the line: number, name, and the fields.
func (l *Logger) pairs(state *eventState, suppressed uint64, fields []any) []any {
	const maxAddedElements = 6
	pairs := make([]any, 0, len(fields)+maxAddedElements)
	pairs = append(pairs, "event", int(state.definition.ID), "name", state.definition.Name)
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i+1] != nil {
			pairs = append(pairs, fields[i], singleLine(fields[i+1]))
		}
	}
	if suppressed > 0 {
		pairs = append(pairs, "suppressed", suppressed)
	}
	return pairs
}

// singleLine returns the message of an error on one line, without the stack trace
// that some errors print. Other values are returned unchanged.
func singleLine(field any) any {
	err, ok := field.(error)
	if !ok {
		return field
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}

// Enabled reports whether the log level includes the event, so that callers can
// avoid computing expensive fields.
func (l *Logger) Enabled(id ID) bool {
	if l == nil {
		return false
	}
	state, ok := l.state[id]
	return ok && state.definition.Level >= l.out.GetLevel()
}

// Count returns how often the event was logged, including suppressed ones.
func (l *Logger) Count(id ID) uint64 {
	if l == nil {
		return 0
	}
	state, ok := l.state[id]
	if !ok {
		return 0
	}
	return state.count.Load()
}

// DroppedLines returns how many lines were lost because the output was too slow or
// failed.
func (l *Logger) DroppedLines() uint64 {
	if l == nil || l.writer == nil {
		return 0
	}
	return l.writer.dropped.Load()
}

// Close writes the queued lines, waiting at most the given time, and stops the
// logger's goroutine. Later events are counted but not written.
func (l *Logger) Close(wait time.Duration) {
	if l == nil || l.writer == nil {
		return
	}
	l.writer.close(wait)
}
