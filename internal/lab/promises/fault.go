package promises

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/cluster"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
)

// fault is a failure that begins and ends.
type fault struct {
	name string
	// begin brings it about.
	begin func(ctx context.Context, e *env) error
	// end removes it; the system may need time afterwards.
	end func(ctx context.Context, e *env) error
	// hurts are the entries that cannot be reached, or not from all others.
	hurts func(p *firm.Plan) []string
	// silent is set when the platform cannot take changes meanwhile.
	silent bool
	// planned is set for what no caller may feel.
	planned bool
	// checks are promises that the fault is about, beside the usual ones.
	checks []Promise
}

// nobody is hurt.
func nobody(*firm.Plan) []string { return nil }

// place names the parts of a firm that faults hit.
type place struct {
	// owner and twin are the entries of the first zone with two.
	owner, twin, ownerZone string
	// only is the entry of the first zone with one, in zone onlyZone.
	only, onlyZone string
	// far is the last region with its entries.
	far        string
	farEntries []string
}

// places finds the parts of a firm.
func places(p *firm.Plan) place {
	byZone := map[string][]string{}
	var at place
	for _, e := range p.Entries {
		byZone[e.Zone] = append(byZone[e.Zone], e.Name)
	}
	for _, zone := range firm.Zones(&p.Topology) {
		entries := byZone[zone]
		switch {
		case len(entries) == 2 && at.owner == "":
			at.owner, at.twin, at.ownerZone = entries[0], entries[1], zone
		case len(entries) == 1 && at.only == "":
			at.only, at.onlyZone = entries[0], zone
		}
	}
	at.far = p.Topology.Regions[len(p.Topology.Regions)-1].Name
	for _, e := range p.Entries {
		if firm.RegionOf(&p.Topology, e.Zone) == at.far {
			at.farEntries = append(at.farEntries, e.Name)
		}
	}
	return at
}

// entryFaults are failures of entries.
func entryFaults() []fault {
	owner := func(p *firm.Plan) []string { return []string{places(p).owner} }
	only := func(p *firm.Plan) []string { return []string{places(p).only} }
	region := func(p *firm.Plan) []string { return places(p).farEntries }
	return []fault{
		{name: "kill-owner", begin: kill(owner), end: start(owner), hurts: owner},
		{name: "kill-only-entry", begin: kill(only), end: start(only), hurts: only},
		{name: "kill-region", begin: kill(region), end: start(region), hurts: region},
		{name: "freeze-owner", begin: freeze(owner), end: resume(owner), hurts: owner},
		{name: "freeze-only-entry", begin: freeze(only), end: resume(only), hurts: only},
		{name: "planned-stop", begin: stop(owner), end: start(owner), hurts: owner, planned: true, checks: []Promise{Stops}},
		{name: "planned-stop-only-entry", begin: stop(only), end: start(only), hurts: only, planned: true, checks: []Promise{Stops}},
	}
}

// kill ends entries at once.
func kill(names func(*firm.Plan) []string) func(context.Context, *env) error {
	return each(names, func(_ context.Context, p *cluster.Process) error { return p.Kill() })
}

// freeze stops entries without their notice.
func freeze(names func(*firm.Plan) []string) func(context.Context, *env) error {
	return each(names, func(_ context.Context, p *cluster.Process) error { return p.Freeze() })
}

// resume lets frozen entries go on.
func resume(names func(*firm.Plan) []string) func(context.Context, *env) error {
	return each(names, func(_ context.Context, p *cluster.Process) error { return p.Resume() })
}

// stop stops entries as planned and waits until they have left.
func stop(names func(*firm.Plan) []string) func(context.Context, *env) error {
	return func(ctx context.Context, e *env) error {
		return each(names, func(ctx context.Context, p *cluster.Process) error {
			if err := p.Terminate(); err != nil {
				return err
			}
			if err := p.Wait(ctx); err != nil {
				e.broken(Stops, "planned stop: %v", err)
			}
			return nil
		})(ctx, e)
	}
}

// start starts entries again and waits until they are ready.
func start(names func(*firm.Plan) []string) func(context.Context, *env) error {
	return func(ctx context.Context, e *env) error {
		if err := each(names, func(_ context.Context, p *cluster.Process) error { return p.Start() })(ctx, e); err != nil {
			return err
		}
		for _, name := range names(e.Plan) {
			if err := e.Cluster.Ready(ctx, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// each does the same to several entries.
func each(names func(*firm.Plan) []string, do func(context.Context, *cluster.Process) error) func(context.Context, *env) error {
	return func(ctx context.Context, e *env) error {
		var all errs.Group
		for _, name := range names(e.Plan) {
			all.Add(do(ctx, e.Cluster.Process(name)))
		}
		return all.Err()
	}
}

// platformFaults are failures of the platform.
func platformFaults() []fault {
	sound := cluster.Knobs{"down": false, "slow_ms": 0, "lose_answers": 0, "lose_calls": 0, "stale": false, "silent_watch": false,
		"read_rate": 2000, "write_rate": 400}
	knob := func(name string, silent bool, k cluster.Knobs) fault {
		set := func(k cluster.Knobs) func(context.Context, *env) error {
			return func(ctx context.Context, e *env) error { return e.Cluster.SetPlatform(ctx, k) }
		}
		return fault{name: name, begin: set(k), end: set(sound), hurts: nobody, silent: silent}
	}
	return []fault{
		knob("platform-down", true, cluster.Knobs{"down": true}),
		knob("platform-slow", false, cluster.Knobs{"slow_ms": 700}),
		knob("platform-loses-answers", false, cluster.Knobs{"lose_answers": 3}),
		knob("platform-loses-calls", false, cluster.Knobs{"lose_calls": 3}),
		knob("platform-stale", true, cluster.Knobs{"stale": true}),
		knob("platform-silent-watch", false, cluster.Knobs{"silent_watch": true}),
		knob("platform-over-its-rate", true, cluster.Knobs{"read_rate": 5, "write_rate": 2}),
	}
}

// upstreamFaults are failures of some upstreams of each service.
func upstreamFaults() []fault {
	faulty := func(name string, f upstream.Fault, checks ...Promise) fault {
		return fault{name: name, begin: setUpstreams(f), end: setUpstreams(upstream.Fault{}), hurts: nobody, checks: checks}
	}
	return []fault{
		faulty("upstreams-mute", upstream.Fault{Mute: true, Share: 0.2}),
		faulty("upstreams-answer-half", upstream.Fault{Half: true, Share: 0.3}),
		faulty("upstreams-answer-late", upstream.Fault{Late: 1500e6, Share: 0.3}),
		faulty("upstreams-ignore-cancellation", upstream.Fault{Deaf: true, Late: 2500e6, Share: 0.2}),
		faulty("upstreams-shed", upstream.Fault{Shed: true, Share: 0.5}),
		faulty("upstreams-refuse", upstream.Fault{Refuse: true}),
		faulty("upstreams-slow", upstream.Fault{SlowFactor: 5, LoadLag: 2e9}),
		faulty("upstreams-lie", upstream.Fault{HealthLies: true, LoadLies: true, SlowFactor: 3}),
		faulty("upstreams-leave", upstream.Fault{Leaving: true, HealthLag: 500e6}, Leaving),
		{name: "upstreams-leave-by-list", begin: leaveByList, end: returnToList, hurts: nobody, checks: []Promise{Leaving}},
		{name: "upstreams-restart", begin: restartUpstreams, end: restartUpstreams, hurts: nobody},
	}
}

// someUpstreams are the first of each service in the first two zones.
func someUpstreams(p *firm.Plan) []string {
	var names []string
	for _, s := range p.Topology.Services {
		for i := range 2 {
			names = append(names, s.Pools[i].Upstreams[0].Name)
		}
	}
	return names
}

// setUpstreams replaces the faults of some upstreams.
func setUpstreams(f upstream.Fault) func(context.Context, *env) error {
	return func(ctx context.Context, e *env) error {
		for _, name := range someUpstreams(e.Plan) {
			if err := e.Cluster.SetUpstream(ctx, name, f); err != nil {
				return err
			}
		}
		return nil
	}
}

// listLag is how late the platform's list shows that an upstream leaves.
const listLag = time.Second

// leaveByList lets some upstreams leave that only the platform's list knows
// of; their health endpoints claim that they stay.
func leaveByList(ctx context.Context, e *env) error {
	if err := e.Cluster.SetPlatform(ctx, cluster.Knobs{"lag_ms": listLag.Milliseconds()}); err != nil {
		return err
	}
	if err := e.Cluster.SetInstances(ctx, someUpstreams(e.Plan)...); err != nil {
		return err
	}
	return setUpstreams(upstream.Fault{Leaving: true, HealthLies: true, HealthLag: listLag})(ctx, e)
}

// returnToList makes them live again.
func returnToList(ctx context.Context, e *env) error {
	if err := e.Cluster.SetInstances(ctx); err != nil {
		return err
	}
	return setUpstreams(upstream.Fault{})(ctx, e)
}

// restartUpstreams cuts all connections of some upstreams and makes them cold.
func restartUpstreams(ctx context.Context, e *env) error {
	for _, name := range someUpstreams(e.Plan) {
		if err := e.Cluster.RestartUpstream(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// drainFaults are planned drains by an operator.
func drainFaults() []fault {
	upstream := func(p *firm.Plan) (settings.Drain, []string) {
		name := someUpstreams(p)[0]
		return settings.Drain{Kind: settings.DrainUpstream, Name: name}, []string{name}
	}
	zone := func(p *firm.Plan) (settings.Drain, []string) {
		name := places(p).onlyZone
		return settings.Drain{Kind: settings.DrainZone, Name: name}, zoneUpstreams(p, name)
	}
	return []fault{drained("drain-upstream", upstream), drained("drain-zone", zone)}
}

// drained is a drain that lasts while the fault does. What gives the drain
// and the upstreams that must get no new work.
func drained(name string, what func(*firm.Plan) (settings.Drain, []string)) fault {
	var accepted time.Time
	begin := func(ctx context.Context, e *env) error {
		drain, _ := what(e.Plan)
		err := e.drain(ctx, drain, false)
		accepted = time.Now()
		return err
	}
	end := func(ctx context.Context, e *env) error {
		drain, upstreams := what(e.Plan)
		if err := e.checkNoWork(ctx, upstreams, accepted.Add(upstream.LeavingGrace)); err != nil {
			return err
		}
		return e.drain(ctx, drain, true)
	}
	return fault{name: name, begin: begin, end: end, hurts: nobody, planned: true, checks: []Promise{Leaving}}
}

// zoneUpstreams lists the upstreams of a zone.
func zoneUpstreams(p *firm.Plan, zone string) []string {
	var names []string
	for _, s := range p.Topology.Services {
		for _, pool := range s.Pools {
			if pool.Zone != zone {
				continue
			}
			for _, u := range pool.Upstreams {
				names = append(names, u.Name)
			}
		}
	}
	return names
}
