package control

import (
	"slices"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// watchersPerZone is the number of instances of a zone that watch the platform.
const watchersPerZone = 2

// buildSnapshot copies the parts of the tables that the traffic path reads.
func (c *Core) buildSnapshot() *Snapshot {
	zone := c.ix.zones[c.zone]
	views := c.currentViews()
	return &Snapshot{
		At:               c.now,
		Self:             c.identity.Instance,
		Zone:             zone.name,
		Region:           zone.region,
		Incarnation:      c.identity.Incarnation,
		State:            c.state,
		Config:           c.config,
		Preset:           c.preset,
		Instances:        views.instances,
		Pools:            views.pools,
		Owned:            c.grants(),
		LeavingUpstreams: c.leavingUpstreams(),
		DrainedZones:     c.drainedZones(),
		Watcher:          c.isWatcher(),
		Successors:       c.successors(),
	}
}

func (c *Core) instanceViews() []InstanceView {
	views := make([]InstanceView, len(c.ix.instances))
	for i, inst := range c.ix.instances {
		m := &c.members[i]
		view := InstanceView{
			Name:          inst.Name,
			Zone:          c.ix.zones[inst.zone].name,
			Region:        c.ix.zones[inst.zone].region,
			Callers:       inst.Callers,
			Alive:         c.alive(i),
			State:         m.state,
			Incarnation:   m.incarnation,
			ConfigVersion: c.knownConfigVersion(i),
		}
		pools := m.poolLoads
		if i == c.self {
			view.State = c.state
			view.Incarnation = c.identity.Incarnation
			view.ConfigVersion = c.config.Version
			pools = c.localPoolLoads()
		}
		for _, p := range pools {
			view.Busy += p.Busy
			view.Slots += p.Slots
		}
		views[i] = view
	}
	return views
}

func (c *Core) poolViews() map[work.PoolID]*PoolView {
	views := make(map[work.PoolID]*PoolView, len(c.ix.pools))
	for _, p := range c.ix.pools {
		views[p.id] = &PoolView{ID: p.id, Region: c.ix.zones[p.zone].region}
	}
	for i := range c.members {
		if !c.alive(i) {
			continue
		}
		pools, at := c.members[i].poolLoads, c.members[i].rowUpdatedAt
		if i == c.self {
			pools, at = c.localPoolLoads(), c.now
		}
		for _, status := range pools {
			view, known := views[status.Pool]
			if !known {
				continue
			}
			view.Owners = append(view.Owners, PoolOwner{
				Instance: c.ix.instances[i].Name,
				Slots:    status.Slots,
				Busy:     status.Busy,
				Queued:   status.Queued,
				LoadAt:   at,
			})
		}
	}
	return views
}

// leavingUpstreams returns the upstreams that the platform lists as leaving or
// that operators have drained.
func (c *Core) leavingUpstreams() map[string]bool {
	leaving := map[string]bool{}
	for _, list := range c.leavingLists {
		for _, name := range list.upstreams {
			leaving[name] = true
		}
	}
	for _, drain := range c.config.Drains {
		if drain.Kind == settings.DrainUpstream {
			leaving[drain.Name] = true
		}
	}
	return leaving
}

// drainedZones returns the zones that the preset in force or operators have
// drained.
func (c *Core) drainedZones() map[string]bool {
	drained := map[string]bool{}
	for _, zone := range c.preset.DrainedZones {
		drained[zone] = true
	}
	for _, drain := range c.config.Drains {
		if drain.Kind == settings.DrainZone {
			drained[drain.Name] = true
		}
	}
	return drained
}

func (c *Core) isWatcher() bool { return slices.Contains(c.watchers(), c.self) }

// watchers returns the instances of the local zone that watch the platform,
// ordered by rendezvous rank.
func (c *Core) watchers() []int {
	var live []int
	for _, i := range c.ix.zones[c.zone].instances {
		if c.alive(i) {
			live = append(live, i)
		}
	}
	ranked := c.ix.rank("watcher/"+c.ix.zones[c.zone].name, live)
	return ranked[:min(watchersPerZone, len(ranked))]
}

// Roles are the duties that an instance currently has besides those that all
// members of its zone share.
type Roles struct {
	// Owner: dispatches to at least one pool.
	Owner bool
	// Watcher: watches the platform for its zone.
	Watcher bool
	// Speaker: exchanges digests with other zones.
	Speaker bool
	// Adopter: grants another zone the use of its reserved slots, and adopts the
	// pools of that zone if it becomes silent.
	Adopter bool
}

// Roles returns the current duties of this instance.
func (c *Core) Roles() Roles {
	return Roles{
		Owner:   slices.ContainsFunc(c.pools, func(p poolState) bool { return p.owned }),
		Watcher: c.isWatcher(),
		Speaker: slices.Contains(c.speakers(c.zone), c.self),
		Adopter: slices.ContainsFunc(c.adoptableZones, func(adoptable adoptableZone) bool { return adoptable.isAdopter }),
	}
}
