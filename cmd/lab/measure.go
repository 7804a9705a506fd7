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

// quickTraces are those of a quick run, which ends within five minutes.
var quickTraces = []string{trace.Ordinary, trace.Neighbours, trace.Uploads, trace.Peak}

// comparedTraces are those that the plain proxy replays in a quick run.
var comparedTraces = []string{trace.Ordinary, trace.Neighbours}

// none stands in place of the names of traces for the probes alone.
const none = "none"

// allTraces are in the order of their replay: those that move zones come last.
var allTraces = append(append([]string(nil), quickTraces...), trace.Maintenance, trace.Shift)

// recordCmd records the traces of a firm.
type recordCmd struct {
	Firm   []string `help:"Names of the firms." default:"lantern-mount,wijesekera"`
	Deploy string   `help:"Directory of the firms." default:"deploy" type:"existingdir"`
	Out    string   `help:"Directory of the traces." default:"testdata/traces" type:"path"`
	Seed   uint64   `help:"Seed of the traces." default:"1"`
}

// Run writes one file for each scenario.
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

// measureCmd replays the traces.
type measureCmd struct {
	Firm   []string `help:"Names of the firms." default:"lantern-mount,wijesekera"`
	Deploy string   `help:"Directory of the firms." default:"deploy" type:"existingdir"`
	Traces string   `help:"Directory of the traces." default:"testdata/traces" type:"existingdir"`
	Trace  []string `help:"Names of the traces to replay; by default all. none leaves only the probes."`
	System []string `help:"Systems to run beside the ideal." default:"steer,baseline" enum:"steer,baseline"`
	Out    string   `help:"Directory of the results." default:"out/measure" type:"path"`
	Seed   uint64   `help:"Seed of the service times." default:"1"`
	Pace   float64  `help:"Seconds that a second of the traces lasts, for a machine that is too small or busy for their own pace." default:"1"`
	Quick  bool     `help:"Replay a choice of the traces."`
	Keep   string   `help:"Directory for settings and logs; by default a temporary one that is removed." type:"path"`
}

// Run measures each firm and prints its tables.
func (c *measureCmd) Run(ctx context.Context) error {
	names := c.Trace
	switch {
	case len(names) == 1 && names[0] == none:
		names = nil
	case len(names) > 0:
	case c.Quick:
		names = quickTraces
	default:
		names = allTraces
	}
	for _, name := range c.Firm {
		if err := c.one(ctx, name, names); err != nil {
			return err
		}
	}
	return nil
}

// one measures a firm.
func (c *measureCmd) one(ctx context.Context, name string, traces []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, remove, err := c.directory(name)
	if err != nil {
		return err
	}
	defer remove()
	o := measure.Options{
		Options: trial.Options{Firm: filepath.Join(c.Deploy, name), Bin: filepath.Dir(self), Dir: dir, Seed: c.Seed, Dilate: c.Pace},
		Traces:  filepath.Join(c.Traces, name),
		Names:   traces,
		Once:    !c.Quick,
		Out:     os.Stdout,
	}
	if c.Quick {
		o.Compared = comparedTraces
	}
	for _, s := range c.System {
		o.Systems = append(o.Systems, measure.System(s))
	}
	f, err := firm.Load(o.Firm)
	if err != nil {
		return err
	}
	result, err := measure.Run(ctx, o)
	if err != nil {
		return err
	}
	outcomes, err := loadOutcomes(o.Traces, traces)
	if err != nil {
		return err
	}
	result.Judge(outcomes, measure.Capacity(f))
	fmt.Printf("\n## %s (seed %d, pace %g, %s, load average %v)\n\n%s\n", name, c.Seed, c.Pace, result.Took, result.LoadBusy, result.Markdown())
	return c.save(name, result)
}

// loadOutcomes reads the stated outcomes of the traces.
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

// directory returns where the run of a firm is written and what removes it.
func (c *measureCmd) directory(name string) (string, func(), error) {
	if c.Keep != "" {
		return filepath.Join(c.Keep, name), func() {}, nil
	}
	dir, err := os.MkdirTemp("", "sycamoreledge-measure-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// save writes the result for the report; those of earlier runs are kept.
func (c *measureCmd) save(name string, r *measure.Result) error {
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
