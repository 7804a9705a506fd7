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
	// registerTimeout bounds how long a start waits for the platform.
	registerTimeout = 2 * time.Second
	// registerPause is the time between later attempts to register.
	registerPause = time.Second
	// listInterval is the time between two reads of the list of instances.
	listInterval = time.Second
	// watcherCheck is how often an instance looks whether it is to watch.
	watcherCheck = 500 * time.Millisecond
)

// register records this run on the platform and learns which former runs in
// the zone may still have requests in flight: all, when the platform is absent.
func (e *entry) register(ctx context.Context) {
	e.identity = control.Identity{
		Instance:    e.self.Name,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	former, incarnation, err := instances.Start(ctx, e.platform, e.recordName(), e.identity.Incarnation)
	if err != nil {
		e.events.Log(event.PlatformAbsent, "address", e.bundle.Settings.Platform.Address, "error", err)
		for _, name := range e.zoneInstances() {
			e.unclean = append(e.unclean, control.Identity{Instance: name})
		}
		return
	}
	e.identity.Incarnation = incarnation
	e.noteUnclean(e.self.Name, former)
	e.noteMates(ctx)
}

// noteMates remembers the runs of the zone's other instances. When they cannot
// be read, any run may be unclean.
func (e *entry) noteMates(ctx context.Context) {
	zone, err := instances.Zone(ctx, e.platform, e.bundle.Topology.ZoneOf(e.self.Name))
	for _, mate := range e.zoneInstances() {
		switch {
		case mate == e.self.Name:
		case err != nil:
			e.unclean = append(e.unclean, control.Identity{Instance: mate})
		default:
			for _, run := range zone[mate] {
				e.noteUnclean(mate, run)
			}
		}
	}
}

// recordName is the name of this instance's record on the platform.
func (e *entry) recordName() string {
	return instances.Name(e.bundle.Topology.ZoneOf(e.self.Name), e.self.Name)
}

// noteUnclean remembers a run that is not known to have stopped cleanly.
func (e *entry) noteUnclean(name string, run instances.Run) {
	if run.Incarnation > 0 && !run.Clean {
		e.unclean = append(e.unclean, control.Identity{Instance: name, Incarnation: run.Incarnation})
	}
}

// zoneInstances returns the declared instances of the own zone.
func (e *entry) zoneInstances() []string {
	var names []string
	own := e.bundle.Topology.ZoneOf(e.self.Name)
	for _, zone := range e.bundle.Topology.Zones() {
		if zone.Name != own {
			continue
		}
		for _, inst := range zone.Instances {
			names = append(names, inst.Name)
		}
	}
	return names
}

// watch follows the platform while this instance is one of its zone's
// watchers.
func (e *entry) watch(ctx context.Context) {
	watcher := &presets.Watcher{Client: e.platform, OnConfig: e.learned}
	ticker := time.NewTicker(watcherCheck)
	defer ticker.Stop()
	stop := func() {}
	defer func() { stop() }()
	watches := false
	for {
		s := e.loop.Snapshot()
		watcher.Observe(s.Config.Version)
		e.presets.Observe(s.Config.Version)
		if s.Watcher != watches {
			watches = s.Watcher
			stop()
			stop = e.follow(ctx, watches, watcher)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow starts what a watcher does and returns how to end it.
func (e *entry) follow(ctx context.Context, watches bool, watcher *presets.Watcher) context.CancelFunc {
	if !watches {
		return func() {}
	}
	watching, stop := context.WithCancel(ctx)
	go watcher.Run(watching)
	go e.followList(watching)
	return stop
}

// learned takes a configuration that the platform accepted. One that does not
// fit the topology of this instance is not put into force.
func (e *entry) learned(cfg *settings.Config) {
	preset, known := cfg.Presets[cfg.InForce]
	if known {
		if err := settings.CheckPreset(e.bundle.Topology, &preset, cfg.Drains); err != nil {
			e.events.Log(event.ConfigInvalid, "source", "platform", "version", cfg.Version, "error", err)
			return
		}
	}
	e.loop.AcceptConfig(cfg)
}

// followList reads the platform's list of instances, whose leaving upstreams
// get no new work.
func (e *entry) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if list, err := e.platform.Instances(ctx); err == nil {
			e.loop.Do(func(c *control.Core) { c.SetLeavingUpstreams(leavingNames(list)) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func leavingNames(list []platform.Instance) []string {
	var names []string
	for _, inst := range list {
		if inst.State == platform.InstanceLeaving {
			names = append(names, inst.Name)
		}
	}
	return names
}
