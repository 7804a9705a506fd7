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
	// Probes adds the overhead of an entry and the cost of at most once.
	Probes bool
	Out    io.Writer
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
	// Behind is the 99th percentile of how late the replay was with its sends.
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
	Rows     []Row     `json:"rows"`
	Replays  []Replay  `json:"replays"`
	Overhead *Overhead `json:"overhead,omitempty"`
	Once     *Once     `json:"once,omitempty"`
	Targets  []Target  `json:"targets"`
}

// run is a measurement under way.
type run struct {
	Options
	result  *Result
	systems []*system
}

// Run measures a firm.
func Run(ctx context.Context, o Options) (*Result, error) {
	m := &run{Options: o, result: &Result{Firm: filepath.Base(o.Firm), Seed: o.Seed, Started: time.Now()}}
	defer m.end()
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
	if o.Probes {
		if err := m.probe(ctx); err != nil {
			return nil, err
		}
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
	f, err := firm.Load(m.Firm)
	if err != nil {
		return err
	}
	t := trace.Record(f, trace.WarmUp(), m.Seed)
	_, err = m.replay(ctx, s, t)
	return err
}

// trace replays one trace under every system.
func (m *run) trace(ctx context.Context, name string) error {
	t, err := trace.Load(filepath.Join(m.Traces, name+trace.Suffix))
	if err != nil {
		return err
	}
	for _, s := range m.systems {
		samples, err := m.replay(ctx, s, t)
		if err != nil {
			return err
		}
		m.result.Rows = append(m.result.Rows, rows(s.name, t, samples, s.deadline(t))...)
	}
	p := m.systems[0].trial.Plan
	c := ideal.Config{Topology: &p.Topology, World: &p.World, Seed: m.Seed, Deadline: m.systems[0].deadline(t)}
	m.result.Rows = append(m.result.Rows, rows(Ideal, t, idealSamples(ideal.Run(c, t)), c.Deadline)...)
	return nil
}

// deadline returns the deadlines of the services in the trace's preset.
func (s *system) deadline(t *trace.Trace) func(string) time.Duration {
	preset := s.trial.Plan.Preset(t.Preset)
	return func(service string) time.Duration { return preset.Service(service).Deadline }
}

// replay replays a trace under one system, then ends its faults and drains.
func (m *run) replay(ctx context.Context, s *system, t *trace.Trace) ([]Sample, error) {
	if err := s.prepare(ctx, t); err != nil {
		return nil, err
	}
	s.pass++
	r, err := newReplay(t, s.trial.Plan, s.pass)
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
		behind = append(behind, s.Behind)
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
	parts := []string{fmt.Sprintf("%.1f cores, %d MB, %.1f%% extra, sends %s late", r.Processor, r.Memory>>20, 100*r.Attempts.Extra(), ms(r.Behind))}
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
