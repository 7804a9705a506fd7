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

// inForceLimit is how long a change may take to be in force everywhere.
const inForceLimit = 5 * time.Second

// drainLimit is how long a drained upstream may still get new work.
const drainLimit = 3 * time.Second

// pollInterval is the time between two looks at something that changes.
const pollInterval = 50 * time.Millisecond

// step is something that happens during the show.
type step struct {
	// at is the part of the duration after which it happens.
	at  float64
	run func(ctx context.Context) error
}

// steps are those of every show.
func (d *demo) steps() []step {
	return []step{
		{0.15, d.switchPreset},
		{0.30, d.drainUpstream},
		{0.45, d.stopEntry},
		{0.70, d.killEntry},
	}
}

// runStep waits for the time of a step and runs it.
func (d *demo) runStep(ctx context.Context, s step) {
	t := time.NewTimer(time.Duration(s.at * float64(d.Duration)))
	defer t.Stop()
	select {
	case <-t.C:
		d.fail(s.run(ctx))
	case <-ctx.Done():
	}
}

// switchPreset puts another preset in force.
func (d *demo) switchPreset(ctx context.Context) error {
	if err := d.operate(ctx, "preset", "apply", "-f", d.Plan.PresetFile("peak")); err != nil {
		return err
	}
	begin := time.Now()
	if err := d.operate(ctx, "preset", "use", "peak", "--wait", "--wait-limit", inForceLimit.String()); err != nil {
		return err
	}
	d.say("preset peak is in force everywhere after %s", ms(time.Since(begin)))
	return nil
}

// drainUpstream drains the first upstream and watches its work end.
func (d *demo) drainUpstream(ctx context.Context) error {
	name := d.Plan.Topology.Services[0].Pools[0].Upstreams[0].Name
	if err := d.operate(ctx, "drain", "upstream", name); err != nil {
		return err
	}
	accepted := time.Now()
	if err := wait(ctx, drainLimit); err != nil {
		return err
	}
	at, err := d.counts(ctx, name)
	if err != nil {
		return err
	}
	if err := d.await(ctx, func() (bool, error) {
		c, err := d.counts(ctx, name)
		return c.Busy == 0, err
	}); err != nil {
		return err
	}
	if err := wait(ctx, drainLimit); err != nil {
		return err
	}
	after, err := d.counts(ctx, name)
	if err != nil {
		return err
	}
	if after.Started != at.Started {
		return Error.New("%s got %d requests more than %s after its drain", name, after.Started-at.Started, drainLimit)
	}
	d.say("upstream %s got its last request %s after the drain was accepted", name, ms(max(0, after.LastStart.Sub(accepted))))
	return d.operate(ctx, "drain", "upstream", name, "--undo")
}

// operate runs a command of sycamoreledge as an operator would, and shows it
// with its output.
func (d *demo) operate(ctx context.Context, args ...string) error {
	program := filepath.Join(d.Bin, "sycamoreledge")
	cmd := exec.CommandContext(ctx, program, append(args, "--client-settings", d.Plan.ClientSettings("first"))...)
	out, err := cmd.CombinedOutput()
	d.say("$ sycamoreledge %s", strings.Join(args, " "))
	for line := range strings.Lines(string(out)) {
		d.say("  %s", strings.TrimRight(line, "\n"))
	}
	if err != nil {
		return Error.New("sycamoreledge %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

// stopEntry stops an entry as planned and starts it again.
func (d *demo) stopEntry(ctx context.Context) error {
	e := d.entry(2)
	begin := time.Now()
	if err := d.operate(ctx, "drain", "entry", e.Name); err != nil {
		return err
	}
	if err := d.Cluster.Process(e.Name).Wait(ctx); err != nil {
		return err
	}
	d.say("entry %s left after %s", e.Name, ms(time.Since(begin)))
	return d.startEntry(ctx, e.Name)
}

// killEntry kills an entry and replaces it.
func (d *demo) killEntry(ctx context.Context) error {
	e := d.entry(1)
	d.say("entry %s is killed", e.Name)
	if err := d.Cluster.Process(e.Name).Kill(); err != nil {
		return err
	}
	if err := wait(ctx, d.Duration/10); err != nil {
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
	d.say("entry %s is back, ready after %s", name, ms(time.Since(begin)))
	return nil
}

// entry returns the first entry of a zone with that many entries.
func (d *demo) entry(inZone int) *firm.Entry {
	n := map[string]int{}
	for _, e := range d.Plan.Entries {
		n[e.Zone]++
	}
	for i := range d.Plan.Entries {
		if n[d.Plan.Entries[i].Zone] == inZone {
			return &d.Plan.Entries[i]
		}
	}
	panic("demo: no zone has that many entries")
}

// counts returns the totals of one upstream.
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
	return upstream.Counts{}, Error.New("no upstream %s", name)
}

// await polls until done reports true or an error.
func (d *demo) await(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if err := wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// wait returns after t, or earlier with an error when ctx ends.
func wait(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}
