package control

import (
	"slices"
	"time"
)

// leavingLifetime is how long a list of leaving upstreams is used after the
// last time it was heard of.
const leavingLifetime = 10 * time.Second

// leavingLists holds the lists of leaving upstreams by the instance that read
// them from the platform. The platform's list lags; it only keeps new work
// away.
type leavingLists map[int]leavingList

type leavingList struct {
	upstreams []string
	until     time.Time
}

func (l leavingLists) expire(now time.Time) {
	for i, list := range l {
		if !list.until.After(now) {
			delete(l, i)
		}
	}
}

// SetLeavingUpstreams passes in the upstreams that the platform lists as
// leaving, as this instance read it, and passes those that concern the zone on
// to its other members.
func (c *Core) SetLeavingUpstreams(names []string) {
	mine := c.concerning(names)
	was := c.leaving[c.self].upstreams
	c.leaving[c.self] = leavingList{upstreams: mine, until: c.now.Add(leavingLifetime)}
	if len(mine) == 0 && len(was) == 0 {
		return
	}
	for _, i := range c.liveMates() {
		c.send(i, Message{Leaving: &LeavingUpstreams{Upstreams: mine}})
	}
}

// concerning keeps the upstreams of pools that this zone may dispatch to.
func (c *Core) concerning(names []string) []string {
	var mine []string
	for _, name := range names {
		z, declared := c.ix.upstreamZone[name]
		if declared && (z == c.zone || c.ix.zones[z].adopter == c.zone) {
			mine = append(mine, name)
		}
	}
	slices.Sort(mine)
	return mine
}

func (c *Core) onLeaving(from int, l *LeavingUpstreams) {
	if c.ix.instances[from].zone != c.zone {
		return
	}
	c.leaving[from] = leavingList{
		upstreams: slices.Clone(l.Upstreams),
		until:     c.now.Add(leavingLifetime),
	}
	c.stale = true
}
