package entry

import (
	"context"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/instances"
	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

const (
	// registerTimeout bounds how long startup waits for the platform, and each
	// later attempt to register.
	registerTimeout = 2 * time.Second
	// registerRetryInterval is the time between attempts to register after startup.
	registerRetryInterval = time.Second
	instanceListInterval  = time.Second
	// watcherCheckInterval is the time between checks of whether this instance is
	// a watcher of its zone.
	watcherCheckInterval = 500 * time.Millisecond
)

// registerRun records this run on the platform and determines which earlier runs in
// the zone may still have requests in flight. If the platform is unreachable, that
// is all of them.
func (e *entryInstance) registerRun(ctx context.Context) {
	e.identity = control.Identity{
		Instance:    e.self.Name,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	previousRun, incarnation, err := instances.RecordStart(ctx, e.platform, e.recordName(), e.identity.Incarnation)
	if err != nil {
		e.events.Log(event.PlatformAbsent, "address", e.bundle.Settings.Platform.Address, "error", err)
		for _, name := range e.zoneInstances() {
			e.uncleanRuns = append(e.uncleanRuns, control.Identity{Instance: name})
		}
		return
	}
	e.identity.Incarnation = incarnation
	e.addIfUnclean(e.self.Name, previousRun)
	e.addUncleanZoneRuns(ctx)
}

// addUncleanZoneRuns adds the unclean runs of the other instances in the zone. If
// the runs cannot be read, any run of these instances counts as unclean.
func (e *entryInstance) addUncleanZoneRuns(ctx context.Context) {
	zoneRuns, err := instances.ZoneRuns(ctx, e.platform, e.bundle.Topology.ZoneOf(e.self.Name))
	for _, name := range e.zoneInstances() {
		switch {
		case name == e.self.Name:
		case err != nil:
			e.uncleanRuns = append(e.uncleanRuns, control.Identity{Instance: name})
		default:
			for _, run := range zoneRuns[name] {
				e.addIfUnclean(name, run)
			}
		}
	}
}

// recordName returns the name of this instance's record on the platform.
func (e *entryInstance) recordName() string {
	return instances.RecordName(e.bundle.Topology.ZoneOf(e.self.Name), e.self.Name)
}

// addIfUnclean adds a run to the unclean runs unless it is recorded as cleanly
// stopped.
func (e *entryInstance) addIfUnclean(name string, run instances.Run) {
	if run.Incarnation > 0 && !run.Clean {
		e.uncleanRuns = append(e.uncleanRuns, control.Identity{Instance: name, Incarnation: run.Incarnation})
	}
}

// zoneInstances returns the names of all declared instances of this instance's
// zone, including its own.
func (e *entryInstance) zoneInstances() []string {
	var names []string
	ownZone := e.bundle.Topology.ZoneOf(e.self.Name)
	for _, zone := range e.bundle.Topology.Zones() {
		if zone.Name != ownZone {
			continue
		}
		for _, inst := range zone.Instances {
			names = append(names, inst.Name)
		}
	}
	return names
}

// watchWhenElected watches the platform for configurations and instance lists while
// this instance is one of its zone's watchers.
func (e *entryInstance) watchWhenElected(ctx context.Context) {
	watcher := &presets.Watcher{Client: e.platform, OnConfig: e.acceptPlatformConfig}
	ticker := time.NewTicker(watcherCheckInterval)
	defer ticker.Stop()
	stop := func() {}
	defer func() { stop() }()
	watching := false
	for {
		s := e.loop.Snapshot()
		watcher.Observe(s.Config.Version)
		e.presets.Observe(s.Config.Version)
		if s.Watcher != watching {
			watching = s.Watcher
			stop()
			stop = e.startWatching(ctx, watching, watcher)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startWatching starts the goroutines of a watcher if enabled is set, and returns a
// function that stops them.
func (e *entryInstance) startWatching(ctx context.Context, enabled bool, watcher *presets.Watcher) context.CancelFunc {
	if !enabled {
		return func() {}
	}
	watchCtx, stop := context.WithCancel(ctx)
	go watcher.Run(watchCtx)
	go e.pollInstanceList(watchCtx)
	return stop
}

// acceptPlatformConfig passes a configuration from the platform to the control
// core. It rejects a configuration whose preset in force is not valid for the
// topology of this instance.
func (e *entryInstance) acceptPlatformConfig(cfg *settings.Config) {
	preset, found := cfg.Presets[cfg.InForce]
	if found {
		if err := settings.CheckPreset(e.bundle.Topology, &preset, cfg.Drains); err != nil {
			e.events.Log(event.ConfigInvalid, "source", "platform", "version", cfg.Version, "error", err)
			return
		}
	}
	e.loop.AcceptConfig(cfg)
}

// pollInstanceList polls the platform's list of instances. Upstreams that it lists
// as leaving get no new requests.
func (e *entryInstance) pollInstanceList(ctx context.Context) {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()
	for {
		if list, err := e.platform.Instances(ctx); err == nil {
			e.loop.Do(func(c *control.Core) { c.SetLeavingUpstreams(leavingInstanceNames(list)) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func leavingInstanceNames(list []platform.Instance) []string {
	var names []string
	for _, inst := range list {
		if inst.State == platform.InstanceLeaving {
			names = append(names, inst.Name)
		}
	}
	return names
}
