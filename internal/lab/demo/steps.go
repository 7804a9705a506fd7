package demo

import (
	"context"
	"time"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
)

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
	status, err := d.operator.Status(ctx, false)
	if err != nil {
		return err
	}
	name := "peak"
	if status.Preset == name {
		name = "ordinary"
	}
	d.say("operator puts preset %s in force", name)
	begin := time.Now()
	changed, err := d.operator.Use(ctx, client.Change{Operation: client.NewOperation()}, name)
	if err != nil {
		return err
	}
	accepted := time.Now()
	if err := d.await(ctx, func() (bool, error) {
		status, err := d.operator.Status(ctx, false)
		return err == nil && len(status.Behind(changed.Version)) == 0, nil
	}); err != nil {
		return err
	}
	d.say("preset %s accepted after %s, known everywhere after another %s", name, ms(accepted.Sub(begin)), ms(time.Since(accepted)))
	return nil
}

// drainUpstream drains the first upstream and watches its work end.
func (d *demo) drainUpstream(ctx context.Context) error {
	name := d.Plan.Topology.Services[0].Pools[0].Upstreams[0].Name
	d.say("operator drains upstream %s", name)
	drain := settings.Drain{Kind: settings.DrainUpstream, Name: name}
	if _, err := d.operator.Drain(ctx, client.Change{Operation: client.NewOperation()}, drain, false); err != nil {
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
	if _, err := d.operator.Drain(ctx, client.Change{Operation: client.NewOperation()}, drain, true); err != nil {
		return err
	}
	d.say("operator takes upstream %s into use again", name)
	return nil
}

// stopEntry stops an entry as planned and starts it again.
func (d *demo) stopEntry(ctx context.Context) error {
	e := d.entry(2)
	d.say("planned stop of entry %s", e.Name)
	begin := time.Now()
	p := d.Cluster.Process(e.Name)
	if err := p.Terminate(); err != nil {
		return err
	}
	if err := p.Wait(ctx); err != nil {
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
