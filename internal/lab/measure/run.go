// Package measure replays recorded traces against the real processes of a
// firm and beside them against a plain proxy and an ideal queue, and judges the
// figures by targets.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/ideal"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/work"
)

// Error is the class of errors of this package.
var Error = errs.Class("measure")

// Options says what to measure.
type Options struct {
	trial.Options
	// Traces is the directory of the firm's traces.
	Traces string
	// Names are the traces to replay, in order.
	Names []string
	// Systems are the real ones to run.
	Systems []System
	// Compared are the traces that the baseline replays; none means all.
	Compared []string
	// Once adds the cost of running orders at most once.
	Once bool
	Out  io.Writer
}

// Replay is what one replay of a trace brought beside its rows.
type Replay struct {
	System   System   `json:"system"`
	Trace    string   `json:"trace"`
	Free     []Free   `json:"free,omitempty"`
	Attempts Attempts `json:"attempts"`
	// Processor is what all entries used, in cores; Memory in bytes.
	Processor float64 `json:"processor"`
	Memory    int64   `json:"memory"`
	Drains    []Drain `json:"drains,omitempty"`
	// Violations are counts by their kind.
	Violations map[verdict.Kind]int `json:"violations,omitempty"`
	// Cut counts answers that broke off or had no outcome.
	Cut int `json:"cut"`
	// Reasons counts what was not run or unknown.
	Reasons map[work.Reason]int `json:"reasons,omitempty"`
	// Behind is the 99th percentile of how late the replay was with its sends,
	// in the time of the trace.
	Behind time.Duration `json:"behind"`
	// Problems are events of the trace that could not be carried out.
	Problems []string `json:"problems,omitempty"`
}

// Result is all that was measured of a firm.
type Result struct {
	Firm     string    `json:"firm"`
	Seed     uint64    `json:"seed"`
	Started  time.Time `json:"started"`
	Took     string    `json:"took"`
	LoadBusy []string  `json:"load_average"`
	// Pace is how many seconds a second of the traces lasted.
	Pace     float64   `json:"pace"`
	Rows     []Row     `json:"rows"`
	Replays  []Replay  `json:"replays"`
	Overhead *Overhead `json:"overhead,omitempty"`
	Once     *Once     `json:"once,omitempty"`
	Targets  []Target  `json:"targets"`
}

// maxBehind bounds Behind in a valid replay. Beyond it the machine was too busy
// to send what the trace asks for, and the latencies say more of the machine
// than of the system.
const maxBehind = 5 * time.Millisecond

// Valid reports whether the replay was on time with its sends.
func (r *Replay) Valid() bool { return r.Behind <= maxBehind }

// run is a measurement under way.
type run struct {
	Options
	result  *Result
	systems []*system
	// firm is as declared, in the time of the traces.
	firm *firm.Firm
}

// Run measures a firm.
func Run(ctx context.Context, o Options) (*Result, error) {
	m := &run{Options: o, result: &Result{Firm: filepath.Base(o.Firm), Seed: o.Seed, Started: time.Now()}}
	defer m.end()
	if m.Dilate == 0 {
		m.Dilate = 1
	}
	m.result.Pace = m.Dilate
	var err error
	if m.firm, err = firm.Load(o.Firm); err != nil {
		return nil, err
	}
	if err := m.start(ctx); err != nil {
		return nil, err
	}
	m.result.LoadBusy = append(m.result.LoadBusy, loadAverage())
	for _, s := range m.systems {
		if err := m.warm(ctx, s); err != nil {
			return nil, err
		}
	}
	for _, name := range o.Names {
		if err := m.trace(ctx, name); err != nil {
			return nil, err
		}
	}
	if err := m.probe(ctx); err != nil {
		return nil, err
	}
	m.result.LoadBusy = append(m.result.LoadBusy, loadAverage())
	m.result.Took = time.Since(m.result.Started).Round(time.Second).String()
	return m.result, nil
}

// start starts the systems side by side; they are used in turn.
func (m *run) start(ctx context.Context) error {
	for _, name := range m.Systems {
		o := m.Options.Options
		o.Dir = filepath.Join(o.Dir, string(name))
		s, err := startSystem(ctx, name, o)
		if err != nil {
			return err
		}
		m.systems = append(m.systems, s)
		m.say("%s is ready", name)
	}
	return nil
}

// end stops the systems.
func (m *run) end() {
	for _, s := range m.systems {
		if err := s.trial.Cluster.Stop(); err != nil {
			m.say("%s did not stop cleanly: %v", s.name, err)
		}
	}
}

// say prints a line of progress.
func (m *run) say(format string, args ...any) {
	fmt.Fprintf(m.Out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05")}, args...)...)
}

// warm sends load that is not measured, so that all upstreams are warm.
func (m *run) warm(ctx context.Context, s *system) error {
	_, err := m.replay(ctx, s, trace.Record(m.firm, trace.WarmUp(), m.Seed))
	return err
}

// trace replays one trace under every system.
func (m *run) trace(ctx context.Context, name string) error {
	t, err := trace.Load(filepath.Join(m.Traces, name+trace.Suffix))
	if err != nil {
		return err
	}
	for _, s := range m.systems {
		if s.name == Baseline && !m.withBaseline(name) {
			continue
		}
		samples, err := m.replay(ctx, s, t)
		if err != nil {
			return err
		}
		m.result.Rows = append(m.result.Rows, rows(s.name, t, samples, m.deadline(t))...)
	}
	c := ideal.Config{Topology: &m.firm.Topology, World: &m.firm.World, Seed: m.Seed, Deadline: m.deadline(t)}
	m.result.Rows = append(m.result.Rows, rows(Ideal, t, idealSamples(ideal.Run(c, t)), c.Deadline)...)
	return nil
}

// withBaseline reports whether the plain proxy replays a trace too.
func (m *run) withBaseline(name string) bool {
	return len(m.Compared) == 0 || slices.Contains(m.Compared, name)
}

// deadline returns the deadlines of the services in the trace's preset.
func (m *run) deadline(t *trace.Trace) func(string) time.Duration {
	byService := map[string]time.Duration{}
	for i := range m.firm.Presets {
		if m.firm.Presets[i].Name != t.Preset {
			continue
		}
		for _, s := range m.firm.Presets[i].Services {
			byService[s.Name] = s.Deadline
		}
	}
	return func(service string) time.Duration { return byService[service] }
}

// replay replays a trace under one system, then ends its faults and drains.
func (m *run) replay(ctx context.Context, s *system, t *trace.Trace) ([]Sample, error) {
	if err := s.prepare(ctx, t); err != nil {
		return nil, err
	}
	s.pass++
	r, err := newReplay(t, s.trial.Plan, s.pass, s.pace)
	if err != nil {
		return nil, err
	}
	result := Replay{System: s.name, Trace: t.Name}
	before, used := attempts(ctx, s.trial.Plan), usage(s.trial.Cluster)
	h := &headroom{plan: s.trial.Plan}
	watch, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() { defer close(watched); h.watch(watch, s.trial.Cluster) }()
	start := time.Now()
	happened := s.happen(ctx, t, start)
	r.run(ctx, start)
	stop()
	<-watched
	result.Drains, result.Problems = happened()
	now := usage(s.trial.Cluster)
	result.Processor = (now.Processor - used.Processor).Seconds() / time.Since(start).Seconds()
	result.Memory = now.Memory
	result.Free = h.free()
	result.Attempts = attempts(ctx, s.trial.Plan).since(before)
	s.trial.Note(r.finished()...)
	if err := r.writeFailures(s.trial.Plan.Dir, t.Name); err != nil {
		return nil, err
	}
	if err := s.reset(ctx); err != nil {
		result.Problems = append(result.Problems, err.Error())
	}
	if err := m.judge(ctx, s, &result); err != nil {
		return nil, err
	}
	result.count(r)
	m.say("%-11s %-8s %s", t.Name, s.name, result.summary())
	if t.Name != trace.WarmUpName {
		m.result.Replays = append(m.result.Replays, result)
	}
	return r.samples, Error.Wrap(ctx.Err())
}

// prepare puts the trace's preset in force.
func (s *system) prepare(ctx context.Context, t *trace.Trace) error {
	if s.operator == nil || s.preset == t.Preset {
		return nil
	}
	return s.use(ctx, t.Preset)
}

// judge compares what callers were told with the ledgers.
func (m *run) judge(ctx context.Context, s *system, result *Replay) error {
	found, err := s.trial.Judge(ctx)
	if err != nil {
		return err
	}
	result.Violations = map[verdict.Kind]int{}
	for _, v := range found {
		result.Violations[v.Kind] += v.Count
	}
	return nil
}

// count sums what the operations show beside their latency.
func (r *Replay) count(p *replay) {
	r.Reasons = map[work.Reason]int{}
	var behind []time.Duration
	for _, s := range p.samples {
		behind = append(behind, stretch(s.Behind, 1/p.pace))
		if s.Outcome != work.Run {
			r.Reasons[s.Reason]++
		}
	}
	for _, op := range p.finished() {
		r.Cut += op.Cut + op.Unlabelled
	}
	r.Behind = quantile(sorted(behind), 0.99)
}

// summary is one line about a replay.
func (r *Replay) summary() string {
	parts := []string{fmt.Sprintf("%s, %.1f cores, %d MB, %.1f%% extra, sends %s late", r.validity(), r.Processor, r.Memory>>20, 100*r.Attempts.Extra(), ms(r.Behind))}
	if len(r.Reasons) > 0 {
		parts = append(parts, fmt.Sprint("not run or unknown ", r.Reasons))
	}
	if len(r.Violations) > 0 {
		parts = append(parts, fmt.Sprint("broken ", r.Violations))
	}
	for _, d := range r.Drains {
		parts = append(parts, fmt.Sprintf("%s %s last work after %s, idle after %s", d.Action, d.Name, ms(d.LastStart), ms(d.Idle)))
	}
	return strings.Join(append(parts, r.Problems...), "; ")
}

// validity says whether the figures count.
func (r *Replay) validity() string {
	if r.Valid() {
		return "valid"
	}
	return "INVALID"
}

// loadAverage is that of the machine over a minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// ms shows a duration in milliseconds.
func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
