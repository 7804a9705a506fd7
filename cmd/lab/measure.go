package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/measure"
	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/trial"
)

// quickTraces are replayed with --quick; they fit in a run of five minutes.
var quickTraces = []string{trace.Ordinary, trace.Neighbours, trace.Uploads, trace.Peak}

// quickBaselineTraces are the traces that the baseline (the plain proxy) also
// replays with --quick.
var quickBaselineTraces = []string{trace.Ordinary, trace.Neighbours}

// noTraces is the value of --trace that replays no trace and runs only the probes.
const noTraces = "none"

// allTraces are all traces in the order of replay. Those that move load between
// zones come last.
var allTraces = append(append([]string(nil), quickTraces...), trace.Maintenance, trace.Shift)

// recordCmd records the traces of firms.
type recordCmd struct {
	Firm   []string `help:"Names of the firms." default:"lantern-mount,wijesekera"`
	Deploy string   `help:"Directory of the firms." default:"deploy" type:"existingdir"`
	Out    string   `help:"Directory of the traces." default:"testdata/traces" type:"path"`
	Seed   uint64   `help:"Seed of the traces." default:"1"`
}

// Run records each scenario of each firm and writes one trace file for each.
func (c *recordCmd) Run() error {
	for _, name := range c.Firm {
		f, err := firm.Load(filepath.Join(c.Deploy, name))
		if err != nil {
			return err
		}
		dir := filepath.Join(c.Out, name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		for _, s := range trace.Scenarios(f) {
			t := trace.Record(f, s, c.Seed)
			if err := trace.Save(filepath.Join(dir, s.Name+trace.Suffix), t); err != nil {
				return err
			}
			fmt.Printf("%s %s: %d sends, %d events, %s\n", name, s.Name, len(t.Sends), len(t.Events), t.Duration())
		}
	}
	return nil
}

// measureCmd replays traces against the systems to compare and measures them.
type measureCmd struct {
	Firm   []string `help:"Names of the firms." default:"lantern-mount,wijesekera"`
	Deploy string   `help:"Directory of the firms." default:"deploy" type:"existingdir"`
	Traces string   `help:"Directory of the traces." default:"testdata/traces" type:"existingdir"`
	Trace  []string `help:"Names of the traces to replay; by default all. With none, only the probes run."`
	System []string `help:"Systems to run; the results of the ideal queue are computed in addition." default:"steer,baseline" enum:"steer,baseline"`
	Out    string   `help:"Directory of the results." default:"out/measure" type:"path"`
	Seed   uint64   `help:"Seed of the service times." default:"1"`
	Pace   float64  `help:"Real seconds per second of trace time; a value above 1 slows the replay down on a small or busy machine." default:"1"`
	Quick  bool     `help:"Replay a subset of the traces that takes up to five minutes."`
	Keep   string   `help:"Directory for settings and logs, which are kept; by default a temporary directory that is removed." type:"path"`
}

// Run measures each firm with the selected traces and prints its tables.
func (c *measureCmd) Run(ctx context.Context) error {
	names := c.Trace
	switch {
	case len(names) == 1 && names[0] == noTraces:
		names = nil
	case len(names) > 0:
	case c.Quick:
		names = quickTraces
	default:
		names = allTraces
	}
	for _, name := range c.Firm {
		if err := c.measureFirm(ctx, name, names); err != nil {
			return err
		}
	}
	return nil
}

// measureFirm measures one firm, compares the result with the expected outcomes of
// the traces, prints the tables and saves the result.
func (c *measureCmd) measureFirm(ctx context.Context, name string, traces []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, remove, err := c.runDirectory(name)
	if err != nil {
		return err
	}
	defer remove()
	opts := measure.Options{
		Options: trial.Options{Firm: filepath.Join(c.Deploy, name), Bin: filepath.Dir(self), Dir: dir, Seed: c.Seed, Dilate: c.Pace},
		Traces:  filepath.Join(c.Traces, name),
		Names:   traces,
		Once:    !c.Quick,
		Out:     os.Stdout,
	}
	if c.Quick {
		opts.Compared = quickBaselineTraces
	}
	for _, s := range c.System {
		opts.Systems = append(opts.Systems, measure.System(s))
	}
	f, err := firm.Load(opts.Firm)
	if err != nil {
		return err
	}
	result, err := measure.Run(ctx, opts)
	if err != nil {
		return err
	}
	outcomes, err := loadOutcomes(opts.Traces, traces)
	if err != nil {
		return err
	}
	result.Judge(outcomes, measure.Capacity(f))
	fmt.Printf("\n## %s (seed %d, pace %g, %s, load average %v)\n\n%s\n", name, c.Seed, c.Pace, result.Took, result.LoadBusy, result.Markdown())
	return c.saveResult(name, result)
}

// loadOutcomes reads the expected outcomes of the traces.
func loadOutcomes(dir string, traces []string) ([]*measure.Outcome, error) {
	var all []*measure.Outcome
	for _, name := range traces {
		o, err := measure.LoadOutcome(filepath.Join(dir, name+measure.OutcomeSuffix))
		if err != nil {
			return nil, err
		}
		all = append(all, o)
	}
	return all, nil
}

// runDirectory returns the directory for the run of a firm and a function that
// removes it, unless it is to be kept.
func (c *measureCmd) runDirectory(name string) (string, func(), error) {
	if c.Keep != "" {
		return filepath.Join(c.Keep, name), func() {}, nil
	}
	dir, err := os.MkdirTemp("", "sycamoreledge-measure-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// saveResult writes the result to a new file for the report command. The results of
// earlier runs are kept.
func (c *measureCmd) saveResult(name string, r *measure.Result) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	file := fmt.Sprintf("%s-%s.json", name, r.Started.UTC().Format(time.RFC3339))
	return os.WriteFile(filepath.Join(c.Out, file), data, 0o644)
}
