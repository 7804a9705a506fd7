package trace

import (
	"bufio"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/work"
)

// version is the first line of every trace.
const version = "trace 1"

// ownMark stands after the size of a send whose key the caller makes.
const ownMark = "own"

// Write writes the trace as lines of text.
func Write(w io.Writer, t *Trace) error {
	out := bufio.NewWriter(w)
	writeHead(out, t)
	var now time.Duration
	sends, events := t.Sends, t.Events
	for len(sends) > 0 || len(events) > 0 {
		var at time.Duration
		var line string
		if len(sends) == 0 || (len(events) > 0 && events[0].At <= sends[0].At) {
			at, line = events[0].At, eventLine(events[0])
			events = events[1:]
		} else {
			at, line = sends[0].At, sendLine(sends[0])
			sends = sends[1:]
		}
		at = at.Truncate(Resolution)
		fmt.Fprintf(out, "%d %s\n", (at-now)/Resolution, line)
		now = at
	}
	return Error.Wrap(out.Flush())
}

// writeHead writes the lines before the first send.
func writeHead(out io.Writer, t *Trace) {
	fmt.Fprintln(out, version)
	fmt.Fprintf(out, "firm %s\nname %s\nseed %d\npreset %s\n", t.Firm, t.Name, t.Seed, t.Preset)
	for _, s := range t.Services {
		fmt.Fprintf(out, "service %s %s\n", s.Name, s.Kind)
	}
	for _, z := range t.Zones {
		fmt.Fprintf(out, "zone %s\n", z)
	}
	for _, p := range t.Phases {
		fmt.Fprintf(out, "phase %s %s %s\n", p.Name, p.Start, p.End)
	}
	fmt.Fprintln(out, "begin")
}

// sendLine is a send without its time.
func sendLine(s Send) string {
	line := fmt.Sprintf("%d %d", s.Service, s.Zone)
	if s.Size > 0 || s.Own {
		line += " " + strconv.Itoa(s.Size)
	}
	if s.Own {
		line += " " + ownMark
	}
	return line
}

// eventLine is an event without its time.
func eventLine(e Event) string {
	line := fmt.Sprintf("! %s %s", e.Action, e.Name)
	if e.Factor != 0 {
		line += " " + strconv.FormatFloat(e.Factor, 'g', -1, 64)
	}
	return line
}

// Read reads a trace that Write wrote.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	if !lines.Scan() || lines.Text() != version {
		return nil, Error.New("the first line is not %q", version)
	}
	t := &Trace{}
	body, number := false, 1
	var now time.Duration
	for lines.Scan() {
		number++
		words := strings.Fields(lines.Text())
		var err error
		switch {
		case body:
			now, err = t.bodyLine(now, words)
		case len(words) == 1 && words[0] == "begin":
			body = true
		default:
			err = t.headLine(words)
		}
		if err != nil {
			return nil, Error.New("line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	if !body || len(t.Phases) == 0 {
		return nil, Error.New("the trace ends before its first send")
	}
	return t, nil
}

// headLine reads one line before the first send.
func (t *Trace) headLine(words []string) error {
	if len(words) < 2 {
		return Error.New("short line")
	}
	var err error
	switch words[0] {
	case "firm":
		t.Firm = words[1]
	case "name":
		t.Name = words[1]
	case "seed":
		t.Seed, err = strconv.ParseUint(words[1], 10, 64)
	case "preset":
		t.Preset = words[1]
	case "zone":
		t.Zones = append(t.Zones, words[1])
	case "service":
		err = t.serviceLine(words)
	case "phase":
		err = t.phaseLine(words)
	default:
		err = Error.New("unknown word %q", words[0])
	}
	return err
}

// serviceLine reads a service with its kind.
func (t *Trace) serviceLine(words []string) error {
	if len(words) != 3 {
		return Error.New("a service needs a name and a kind")
	}
	t.Services = append(t.Services, Service{Name: words[1], Kind: work.Kind(words[2])})
	return nil
}

// phaseLine reads a phase.
func (t *Trace) phaseLine(words []string) error {
	if len(words) != 4 {
		return Error.New("a phase needs a name, a start and an end")
	}
	start, err := time.ParseDuration(words[2])
	if err != nil {
		return err
	}
	end, err := time.ParseDuration(words[3])
	if err != nil {
		return err
	}
	t.Phases = append(t.Phases, Phase{Name: words[1], Start: start, End: end})
	return nil
}

// bodyLine reads a send or an event and returns its time.
func (t *Trace) bodyLine(now time.Duration, words []string) (time.Duration, error) {
	if len(words) < 3 {
		return now, Error.New("short line")
	}
	steps, err := strconv.ParseInt(words[0], 10, 64)
	if err != nil || steps < 0 {
		return now, Error.New("bad time %q", words[0])
	}
	now += time.Duration(steps) * Resolution
	if words[1] == "!" {
		return now, t.event(now, words[2:])
	}
	return now, t.send(now, words[1:])
}

// send reads a send without its time.
func (t *Trace) send(at time.Duration, words []string) error {
	s := Send{At: at}
	for i, field := range []*int{&s.Service, &s.Zone, &s.Size} {
		if i >= len(words) {
			break
		}
		n, err := strconv.Atoi(words[i])
		if err != nil || n < 0 {
			return Error.New("bad number %q", words[i])
		}
		*field = n
	}
	s.Own = len(words) == 4 && words[3] == ownMark
	if s.Service >= len(t.Services) || s.Zone >= len(t.Zones) {
		return Error.New("unknown service or zone")
	}
	t.Sends = append(t.Sends, s)
	return nil
}

// event reads an event without its time.
func (t *Trace) event(at time.Duration, words []string) error {
	if len(words) < 2 {
		return Error.New("an event needs an action and a name")
	}
	e := Event{At: at, Action: Action(words[0]), Name: words[1]}
	if len(words) > 2 {
		factor, err := strconv.ParseFloat(words[2], 64)
		if err != nil {
			return err
		}
		e.Factor = factor
	}
	switch e.Action {
	case Slow, Lag, Restart, Leave, Use, DrainZone, DrainUpstream, Undrain, Stop:
		t.Events = append(t.Events, e)
		return nil
	default:
		return Error.New("unknown action %q", e.Action)
	}
}

// Load reads a compressed trace from a file.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// An error of closing a file that was only read changes nothing.
	defer func() { _ = f.Close() }()
	z, err := gzip.NewReader(f)
	if err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	t, err := Read(z)
	if err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	return t, nil
}

// Save writes a compressed trace to a file.
func Save(path string, t *Trace) error {
	f, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	z, _ := gzip.NewWriterLevel(f, gzip.BestCompression)
	if err := errs.Combine(Write(z, t), z.Close(), f.Close()); err != nil {
		return Error.Wrap(err)
	}
	return nil
}
