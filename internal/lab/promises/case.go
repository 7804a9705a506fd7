package promises

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/trial"
)

// Times of a case.
const (
	// warmUp is how long the load runs before the first fault.
	warmUp = time.Second
	// hold is how long faults last: longer than every lease and than the
	// attempts at lookups and orders.
	hold = 6 * time.Second
	// stagger is the time between the beginnings of two faults.
	stagger = 300 * time.Millisecond
	// maxDeadline is the longest deadline of the load: uploads of an ordinary
	// day may take longer than a case.
	maxDeadline = 8 * time.Second
	// maxOperation is how long a caller repeats an operation: longer than the
	// longest fault.
	maxOperation = 16 * time.Second
	// settle is how long the load goes on after the last fault.
	settle = 2 * time.Second
)

// Case is one row of the table: faults at the same time, or an exchange of
// its own.
type Case struct {
	Name string
	// Quick cases are part of the short run.
	Quick  bool
	faults []fault
	// times is how often the faults come, one after the other.
	times int
	// twice is the share of the operations sent through two entries at once.
	twice float64
	// options changes how the cluster is started; it is used for this case
	// alone then.
	options func(*trial.Options)
	// special replaces load and faults.
	special func(ctx context.Context, e *env) error
	checks  []Promise
}

// promises lists what the case checks.
func (c *Case) promises() []Promise {
	if c.special != nil {
		return c.checks
	}
	list := append([]Promise{Slots, Once, NotRun, Answers, Config, Caps}, c.checks...)
	for _, f := range c.faults {
		for _, p := range f.checks {
			if !contains(list, p) {
				list = append(list, p)
			}
		}
	}
	return list
}

// contains reports whether the list has the promise.
func contains(list []Promise, p Promise) bool {
	for _, x := range list {
		if x == p {
			return true
		}
	}
	return false
}

// run carries out the case.
func (c *Case) run(ctx context.Context, e *env) error {
	if c.special != nil {
		return c.special(ctx, e)
	}
	w, err := watch(ctx, e.Trial)
	if err != nil {
		return err
	}
	load := e.StartLoad(ctx, trial.LoadOptions{Shares: e.shares, Preset: e.preset(), MaxDeadline: maxDeadline, MaxOperation: maxOperation, Twice: c.twice})
	begin := time.Now()
	pause(ctx, warmUp)
	made, err := c.disturb(ctx, e)
	c.settle(ctx, e, w, made)
	ops := load.Stop()
	e.describe(load.Stats.Totals())
	if err := e.Save("operations-"+strings.ReplaceAll(c.Name, " ", "-")+".jsonl", ops); err != nil {
		return err
	}
	samples := w.stop()
	if err := e.checkCaps(ctx, begin, "ordinary", "peak"); err != nil {
		return err
	}
	checkSamples(e.report, samples)
	if made != nil {
		checkChange(e.report, e.entries(), samples, *made)
	}
	c.checkPlanned(e, ops)
	if err != nil {
		return err
	}
	return e.checkAudit(ctx)
}

// disturb brings the faults about, changes the preset meanwhile and ends the
// faults, as often as the case says.
func (c *Case) disturb(ctx context.Context, e *env) (*change, error) {
	var made *change
	for range max(1, c.times) {
		if err := c.begin(ctx, e); err != nil {
			return made, errs.Combine(err, c.end(ctx, e))
		}
		if next := c.change(ctx, e); next != nil {
			made = next
		}
		pause(ctx, hold)
		if err := c.end(ctx, e); err != nil {
			return made, err
		}
		if made != nil {
			made.healed = time.Now()
		}
	}
	if made == nil {
		made = c.changeAgain(ctx, e)
	}
	return made, nil
}

// changeTries is how often a change is tried after the faults.
const changeTries = 5

// changeAgain changes the preset after the faults, when that was not possible
// meanwhile.
func (c *Case) changeAgain(ctx context.Context, e *env) *change {
	healthy := Case{}
	for range changeTries {
		if made := healthy.change(ctx, e); made != nil {
			made.healed = made.accepted
			return made
		}
		pause(ctx, time.Second)
	}
	e.broken(Config, "no change is accepted after the faults have ended")
	return nil
}

// begin starts the faults one shortly after the other.
func (c *Case) begin(ctx context.Context, e *env) error {
	failed := make([]error, len(c.faults))
	var all sync.WaitGroup
	for i, f := range c.faults {
		all.Go(func() { failed[i] = f.begin(ctx, e) })
		pause(ctx, stagger)
	}
	all.Wait()
	return errs.Combine(failed...)
}

// end ends the faults, the last one first.
func (c *Case) end(ctx context.Context, e *env) error {
	var all errs.Group
	for i := len(c.faults) - 1; i >= 0; i-- {
		all.Add(c.faults[i].end(ctx, e))
	}
	return all.Err()
}

// change switches the preset through an entry that no fault hurts. It returns
// nil when the change was refused, which is an answer too.
func (c *Case) change(ctx context.Context, e *env) *change {
	hurt := map[string]bool{}
	silent := false
	for _, f := range c.faults {
		silent = silent || f.silent
		for _, name := range f.hurts(e.Plan) {
			hurt[name] = true
		}
	}
	var asked []string
	for _, name := range e.entries() {
		if !hurt[name] {
			asked = append(asked, name)
		}
	}
	operator, err := e.Operator("first", asked...)
	if err != nil {
		return nil
	}
	operation := client.NewOperation()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	changed, err := operator.Use(ctx, client.Change{Operation: operation}, e.otherPreset(ctx, operator))
	e.note(operation, err)
	if err != nil {
		return nil
	}
	made := &change{version: changed.Version, preset: changed.InForce, accepted: time.Now(), hurt: hurt}
	if silent {
		// A platform that hides its changes hurts everybody.
		for _, name := range e.entries() {
			hurt[name] = true
		}
	}
	return made
}

// changeTimeout bounds one change.
const changeTimeout = 4 * time.Second

// otherPreset is the one that is not in force.
func (e *env) otherPreset(ctx context.Context, operator *client.Client) string {
	presets, err := operator.Presets(ctx)
	if err == nil && presets.InForce == "ordinary" {
		return "peak"
	}
	return "ordinary"
}

// settle waits until the change is in force everywhere or its time is over,
// and at least for the usual time.
func (c *Case) settle(ctx context.Context, e *env, w *watcher, made *change) {
	pause(ctx, settle)
	if made == nil {
		return
	}
	limit := made.accepted.Add(inForceLimit)
	if healed := made.healed.Add(inForceLimit); healed.After(limit) {
		limit = healed
	}
	for time.Now().Before(limit.Add(sampleTimeout)) && !w.has(e.entries(), made.version) && ctx.Err() == nil {
		pause(ctx, sampleInterval)
	}
}

// checkPlanned finds callers that felt what was planned.
func (c *Case) checkPlanned(e *env, ops []*caller.Op) {
	for _, f := range c.faults {
		if !f.planned {
			return
		}
	}
	if len(c.faults) == 0 {
		return
	}
	stopping := map[string]bool{}
	for _, f := range c.faults {
		for _, name := range f.hurts(e.Plan) {
			stopping[name] = true
		}
	}
	cut, unreached, silent := 0, 0, 0
	for _, op := range ops {
		cut += op.Cut
		unreached += op.Unreached
		for _, f := range op.Failed {
			if f.Reason == caller.ReasonTimeout && stopping[e.Plan.EntryAt(f.Entry)] {
				silent++
			}
		}
	}
	if cut > 0 {
		e.broken(Stops, "%d answers were cut off", cut)
	}
	if silent > 0 {
		e.broken(Stops, "%d times an entry that stopped gave no answer in time", silent)
	}
	if unreached > 0 {
		e.broken(Stops, "%d times an entry took no connection while callers could still know it", unreached)
	}
}

// nameOf joins the names of faults.
func nameOf(faults []fault) string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return strings.Join(names, "+")
}
