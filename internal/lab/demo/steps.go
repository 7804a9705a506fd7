package demo

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
)

// applyTimeout is the time within which a preset must be in force at all entries.
const applyTimeout = 5 * time.Second

// drainPropagationLimit is the time after which a drained upstream must get no
// new requests.
const drainPropagationLimit = 3 * time.Second

// pollInterval is the time between two polls of a condition.
const pollInterval = 50 * time.Millisecond

// step is an operator action or a failure during the run.
type step struct {
	// startFraction is the fraction of the run's duration after which the step
	// starts.
	startFraction float64
	run           func(ctx context.Context) error
}

// steps returns the steps of a run.
func (d *demo) steps() []step {
	return []step{
		{0.15, d.switchPreset},
		{0.30, d.drainUpstream},
		{0.45, d.stopEntry},
		{0.70, d.killEntry},
	}
}

// runStep waits for the start of a step and runs it, unless ctx is done first.
func (d *demo) runStep(ctx context.Context, s step) {
	t := time.NewTimer(time.Duration(s.startFraction * float64(d.Duration)))
	defer t.Stop()
	select {
	case <-t.C:
		d.recordError(s.run(ctx))
	case <-ctx.Done():
	}
}

// switchPreset applies the preset peak and waits until it is in force.
func (d *demo) switchPreset(ctx context.Context) error {
	if err := d.runCommand(ctx, "preset", "apply", "-f", d.Plan.PresetFile("peak")); err != nil {
		return err
	}
	begin := time.Now()
	if err := d.runCommand(ctx, "preset", "use", "peak", "--wait", "--wait-limit", applyTimeout.String()); err != nil {
		return err
	}
	d.logf("preset peak is in force everywhere after %s", formatMillis(time.Since(begin)))
	return nil
}

// drainUpstream drains the first upstream, checks that its requests finish and
// that no new ones start after drainPropagationLimit, and undoes the drain.
func (d *demo) drainUpstream(ctx context.Context) error {
	name := d.Plan.Topology.Services[0].Pools[0].Upstreams[0].Name
	if err := d.runCommand(ctx, "drain", "upstream", name); err != nil {
		return err
	}
	accepted := time.Now()
	if err := sleep(ctx, drainPropagationLimit); err != nil {
		return err
	}
	at, err := d.counts(ctx, name)
	if err != nil {
		return err
	}
	if err := d.pollUntil(ctx, func() (bool, error) {
		c, err := d.counts(ctx, name)
		return c.Busy == 0, err
	}); err != nil {
		return err
	}
	if err := sleep(ctx, drainPropagationLimit); err != nil {
		return err
	}
	after, err := d.counts(ctx, name)
	if err != nil {
		return err
	}
	if after.Started != at.Started {
		return Error.New("upstream %s started %d requests later than %s after its drain, expected none", name, after.Started-at.Started, drainPropagationLimit)
	}
	d.logf("upstream %s got its last request %s after the drain was accepted", name, formatMillis(max(0, after.LastStart.Sub(accepted))))
	return d.runCommand(ctx, "drain", "upstream", name, "--undo")
}

// runCommand runs a sycamoreledge command with the operator's client settings and
// prints the command and its output.
func (d *demo) runCommand(ctx context.Context, args ...string) error {
	program := filepath.Join(d.Bin, "sycamoreledge")
	cmd := exec.CommandContext(ctx, program, append(args, "--client-settings", d.Plan.ClientSettings("first"))...)
	out, err := cmd.CombinedOutput()
	d.logf("$ sycamoreledge %s", strings.Join(args, " "))
	for line := range strings.Lines(string(out)) {
		d.logf("  %s", strings.TrimRight(line, "\n"))
	}
	if err != nil {
		return Error.New("sycamoreledge %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

// stopEntry drains an entry, waits until its process exits, and restarts it.
func (d *demo) stopEntry(ctx context.Context) error {
	e := d.entryInZoneOfSize(2)
	begin := time.Now()
	if err := d.runCommand(ctx, "drain", "entry", e.Name); err != nil {
		return err
	}
	if err := d.Cluster.Process(e.Name).Wait(ctx); err != nil {
		return err
	}
	d.logf("entry %s left after %s", e.Name, formatMillis(time.Since(begin)))
	return d.startEntry(ctx, e.Name)
}

// killEntry kills an entry and restarts it after a tenth of the run.
func (d *demo) killEntry(ctx context.Context) error {
	e := d.entryInZoneOfSize(1)
	d.logf("entry %s is killed", e.Name)
	if err := d.Cluster.Process(e.Name).Kill(); err != nil {
		return err
	}
	if err := sleep(ctx, d.Duration/10); err != nil {
		return err
	}
	return d.startEntry(ctx, e.Name)
}

// startEntry starts an entry and waits until it is ready.
func (d *demo) startEntry(ctx context.Context, name string) error {
	begin := time.Now()
	if err := d.Cluster.Process(name).Start(); err != nil {
		return err
	}
	if err := d.Cluster.Ready(ctx, name); err != nil {
		return err
	}
	d.logf("entry %s is back, ready after %s", name, formatMillis(time.Since(begin)))
	return nil
}

// entryInZoneOfSize returns the first entry in a zone with size entries. It
// panics if there is no such zone.
func (d *demo) entryInZoneOfSize(size int) *firm.Entry {
	n := map[string]int{}
	for _, e := range d.Plan.Entries {
		n[e.Zone]++
	}
	for i := range d.Plan.Entries {
		if n[d.Plan.Entries[i].Zone] == size {
			return &d.Plan.Entries[i]
		}
	}
	panic("demo: no zone has that many entries")
}

// counts returns the counters of one upstream.
func (d *demo) counts(ctx context.Context, name string) (upstream.Counts, error) {
	all, err := d.Cluster.Counts(ctx)
	if err != nil {
		return upstream.Counts{}, err
	}
	for _, c := range all {
		if c.Upstream == name {
			return c, nil
		}
	}
	return upstream.Counts{}, Error.New("no counters for upstream %s", name)
}

// pollUntil polls done until it returns true or an error, or ctx is done.
func (d *demo) pollUntil(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sleep returns after t, or earlier with an error when ctx is done.
func sleep(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
