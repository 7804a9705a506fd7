package control

import (
	"slices"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// watcherRanks is how many instances of a zone watch the platform.
const watcherRanks = 2

// buildSnapshot copies what traffic needs out of the tables.
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
		Entries:          views.entries,
		Pools:            views.pools,
		Owned:            c.grants(),
		LeavingUpstreams: c.leavingUpstreams(),
		DrainedZones:     c.drainedZones(),
		Watcher:          c.watcher(),
		Successors:       c.successorView(),
	}
}

func (c *Core) entryViews() []EntryView {
	views := make([]EntryView, len(c.ix.instances))
	for i, inst := range c.ix.instances {
		m := &c.members[i]
		view := EntryView{
			Name:          inst.Name,
			Zone:          c.ix.zones[inst.zone].name,
			Region:        c.ix.zones[inst.zone].region,
			Callers:       inst.Callers,
			Alive:         c.alive(i),
			State:         m.state,
			Incarnation:   m.incarnation,
			ConfigVersion: c.versionOf(i),
		}
		pools := m.pools
		if i == c.self {
			view.State = c.state
			view.Incarnation = c.identity.Incarnation
			view.ConfigVersion = c.config.Version
			pools = c.ownPools()
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
		pools, at := c.members[i].pools, c.members[i].learnedAt
		if i == c.self {
			pools, at = c.ownPools(), c.now
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
				At:       at,
			})
		}
	}
	return views
}

// leavingUpstreams joins the platform's list and the operators' drains.
func (c *Core) leavingUpstreams() map[string]bool {
	leaving := map[string]bool{}
	for _, list := range c.leaving {
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

// drainedZones joins the preset in force and the operators' drains.
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

// watcher reports whether this instance watches the platform for its zone.
func (c *Core) watcher() bool { return slices.Contains(c.watchers(), c.self) }

// watchers returns the instances of the zone that watch the platform.
func (c *Core) watchers() []int {
	var live []int
	for _, i := range c.ix.zones[c.zone].instances {
		if c.alive(i) {
			live = append(live, i)
		}
	}
	ranked := c.ix.rank("watcher/"+c.ix.zones[c.zone].name, live)
	return ranked[:min(watcherRanks, len(ranked))]
}

// Roles are the duties that an instance has at the moment beside that of a
// plain member of its zone.
type Roles struct {
	// Owner: dispatches to a pool.
	Owner bool
	// Watcher: watches the platform for its zone.
	Watcher bool
	// Speaker: exchanges digests with other zones.
	Speaker bool
	// Adopter: grants the reserved slots of another zone, and would adopt it.
	Adopter bool
}

// Roles returns the present duties of this instance.
func (c *Core) Roles() Roles {
	return Roles{
		Owner:   slices.ContainsFunc(c.pools, func(p ownedPool) bool { return p.owned }),
		Watcher: c.watcher(),
		Speaker: slices.Contains(c.speakers(c.zone), c.self),
		Adopter: slices.ContainsFunc(c.wards, func(w ward) bool { return w.holder }),
	}
}
