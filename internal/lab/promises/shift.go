package promises

import (
	"context"
	"fmt"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Shape of the case about shifts.
const (
	// shiftLoad is the load on the only zone with callers, in parts of its
	// slots.
	shiftLoad     = 2.5
	shiftDuration = 12 * time.Second
	shiftInterval = 100 * time.Millisecond
	// burstTime is the time whose requests an instance may send at once.
	burstTime = 100 * time.Millisecond
)

// window is the work that a region started until some time.
type window struct {
	// begin and end bound when the counts were read.
	begin, end time.Time
	// started counts requests by region.
	started map[string]int64
}

// shift overloads one zone with lookups, so that they go to other zones and
// regions, and checks the caps and the headroom there.
func shift(ctx context.Context, e *env) error {
	service := e.service(work.Lookup)
	home := firm.Zones(&e.Plan.Topology)[0]
	policy := policyOf(e.preset(), service)
	if err := e.use(ctx, e.preset().Name); err != nil {
		return err
	}
	load := e.StartLoad(ctx, trial.LoadOptions{Shares: caller.Shares{work.Lookup: shiftLoad}, Preset: e.preset(), Zones: []string{home}})
	windows, err := e.sampleShift(ctx, service, home)
	load.Stop()
	e.describe(load.Stats.Totals())
	if err != nil {
		return err
	}
	from := firm.RegionOf(&e.Plan.Topology, home)
	for _, region := range e.Plan.Topology.Regions {
		if region.Name == from {
			continue
		}
		last := windows[len(windows)-1].started[region.Name] - windows[0].started[region.Name]
		e.report.Counts += fmt.Sprintf("; %d shifted to %s", last, region.Name)
		checkShiftCap(e.report, windows, region.Name, policy, instancesOf(e.Plan, from))
	}
	return nil
}

// use puts a preset in force and waits until every entry has it.
func (e *env) use(ctx context.Context, name string) error {
	presets, err := e.operator.Presets(ctx)
	if err != nil || presets.InForce == name {
		return err
	}
	w, err := watch(ctx, e.Trial)
	if err != nil {
		return err
	}
	defer w.stop()
	made := (&Case{}).change(ctx, e)
	if made == nil || made.preset != name {
		return Error.New("preset %s is not in force", name)
	}
	for !w.has(e.entries(), made.version) {
		if ctx.Err() != nil {
			return Error.Wrap(ctx.Err())
		}
		pause(ctx, sampleInterval)
	}
	return nil
}

// sampleShift reads the counts of a service during the load. It adds findings
// about slots that had to stay free.
func (e *env) sampleShift(ctx context.Context, service, home string) ([]window, error) {
	var all []window
	reported := map[string]bool{}
	for end := time.Now().Add(shiftDuration); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, shiftInterval) {
		w := window{begin: time.Now(), started: map[string]int64{}}
		counts, err := e.Cluster.Counts(ctx)
		if err != nil {
			return nil, err
		}
		w.end = time.Now()
		busy := map[string][2]int{}
		for _, c := range counts {
			if c.Service == service {
				w.started[firm.RegionOf(&e.Plan.Topology, c.Zone)] += c.Started
				busy[c.Zone] = add(busy[c.Zone], c)
			}
		}
		delete(busy, home)
		for zone, b := range busy {
			if most := int((1 - e.preset().Headroom) * float64(b[1])); b[0] > most && !reported[zone] {
				reported[zone] = true
				e.broken(Headroom, "requests from %s used %d of %d slots in %s, where %d are allowed", home, b[0], b[1], zone, most)
			}
		}
		all = append(all, w)
	}
	if len(all) == 0 {
		return nil, Error.New("no sample was taken")
	}
	return all, nil
}

// add sums busy and all slots of a pool.
func add(sum [2]int, c upstream.Counts) [2]int { return [2]int{sum[0] + c.Busy, sum[1] + c.Slots} }

// checkShiftCap finds a window in which a region got more than the cap. An
// owner's hedges and retries within their budgets come on top of what it was
// sent.
func checkShiftCap(r *Report, windows []window, region string, p *settings.ServicePolicy, instances int) {
	extra := 1 + p.HedgeBudget + p.RetryBudget
	burst := max(p.ShiftRate*burstTime.Seconds(), float64(instances))
	for i, a := range windows {
		for _, b := range windows[i+1:] {
			n := float64(b.started[region] - a.started[region])
			length := b.end.Sub(a.begin)
			most := extra*(p.ShiftRate*length.Seconds()+burst) + 1
			if n > most {
				r.broken(Caps, "%s got %.0f requests in %s, where %.0f are allowed", region, n, length.Round(time.Millisecond), most)
				return
			}
		}
	}
}

// policyOf returns the policy of a service.
func policyOf(p *settings.Preset, service string) *settings.ServicePolicy {
	for i := range p.Services {
		if p.Services[i].Name == service {
			return &p.Services[i]
		}
	}
	panic("promises: no policy for " + service)
}

// instancesOf counts the entries of a region.
func instancesOf(p *firm.Plan, region string) int {
	n := 0
	for _, e := range p.Entries {
		if firm.RegionOf(&p.Topology, e.Zone) == region {
			n++
		}
	}
	return n
}
