package control

import (
	"slices"
	"time"
)

// leavingListTTL is how long a list of leaving upstreams is used after it was
// last received.
const leavingListTTL = 10 * time.Second

// leavingLists holds the lists of leaving upstreams, by the instance that read
// them from the platform. The platform's list lags behind the upstreams, so it
// is only used to send them no new work.
type leavingLists map[int]leavingList

type leavingList struct {
	upstreams []string
	expiresAt time.Time
}

func (l leavingLists) expire(now time.Time) {
	for i, list := range l {
		if !list.expiresAt.After(now) {
			delete(l, i)
		}
	}
}

// SetLeavingUpstreams sets the upstreams that the platform lists as leaving, as
// read by this instance, and sends those that concern the zone to its other
// members.
func (c *Core) SetLeavingUpstreams(names []string) {
	relevant := c.relevantUpstreams(names)
	previous := c.leavingLists[c.self].upstreams
	c.leavingLists[c.self] = leavingList{upstreams: relevant, expiresAt: c.now.Add(leavingListTTL)}
	if len(relevant) == 0 && len(previous) == 0 {
		return
	}
	for _, i := range c.liveZonePeers() {
		c.send(i, Message{Leaving: &LeavingUpstreams{Upstreams: relevant}})
	}
}

// relevantUpstreams returns those of the named upstreams to which this zone may
// dispatch: its own, and those of zones that it may adopt.
func (c *Core) relevantUpstreams(names []string) []string {
	var relevant []string
	for _, name := range names {
		z, declared := c.ix.upstreamZone[name]
		if declared && (z == c.zone || c.ix.zones[z].adopterZone == c.zone) {
			relevant = append(relevant, name)
		}
	}
	slices.Sort(relevant)
	return relevant
}

func (c *Core) onLeaving(from int, l *LeavingUpstreams) {
	if c.ix.instances[from].zone != c.zone {
		return
	}
	c.leavingLists[from] = leavingList{
		upstreams: slices.Clone(l.Upstreams),
		expiresAt: c.now.Add(leavingListTTL),
	}
	c.snapshotStale = true
}
