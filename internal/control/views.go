package control

import (
	"time"

	"sycamoreledge.example/internal/work"
)

// smallFleetInstances is the number of instances up to which the views of
// instances and pools are rebuilt with each snapshot. In larger fleets they are
// rebuilt after changes of more than load, and otherwise once per digest
// interval, which is as often as other zones report their load.
const smallFleetInstances = 100

// fleetViews are the parts of a snapshot whose size grows with the fleet.
// Successive snapshots share them until they are rebuilt.
type fleetViews struct {
	builtAt time.Time
	// changes is the value of gossip.changeCount when the views were built.
	changes   uint64
	instances []InstanceView
	pools     map[work.PoolID]*PoolView
}

// currentViews returns the views, and rebuilds them first if they are stale.
func (c *Core) currentViews() *fleetViews {
	if c.fleetViews.instances != nil && !c.viewsStale() {
		return &c.fleetViews
	}
	c.fleetViews = fleetViews{
		builtAt:   c.now,
		changes:   c.gossip.changeCount,
		instances: c.instanceViews(),
		pools:     c.poolViews(),
	}
	return &c.fleetViews
}

// viewsStale reports whether the views are to be rebuilt: in a small fleet
// always, otherwise after a change of more than load, such as of a state, a
// failure or an owner, or when they are a digest interval old.
func (c *Core) viewsStale() bool {
	return len(c.members) <= smallFleetInstances ||
		c.gossip.changeCount != c.fleetViews.changes ||
		c.now.Sub(c.fleetViews.builtAt) >= c.timing.Digest
}
