package control

import (
	"slices"
	"time"
)

// adoptableZone is a zone of the local region whose pools this zone adopts while
// all instances of that zone are silent.
type adoptableZone struct {
	zone int
	// isAdopter is set if this instance is the designated adopter, which grants
	// the reserved slots of the zone and adopts its pools.
	isAdopter bool
	// live is set if any instance of the zone was live at the last tick.
	live bool
	// adopterSince is when this instance became the designated adopter or last
	// resumed after a pause.
	adopterSince time.Time
	// otherAdopterPossibleAt is when a former adopter may last have dispatched to
	// reserved slots. No pool is granted until such dispatches have ended.
	otherAdopterPossibleAt time.Time
	// lastGrantedAt holds, by instance of the zone, the arrival time of the last
	// message of the instance before the last grant to it.
	lastGrantedAt map[int]time.Time
}

func adopterKey(zone string) string { return "adopter/" + zone }

// newAdoptableZones returns the zones of which the local zone is the adopting
// zone.
func (c *Core) newAdoptableZones() []adoptableZone {
	var adoptable []adoptableZone
	for z := range c.ix.zones {
		if c.ix.zones[z].adopterZone == c.zone {
			adoptable = append(adoptable, adoptableZone{zone: z, adopterSince: c.start, lastGrantedAt: map[int]time.Time{}})
		}
	}
	return adoptable
}

// adoptionWait returns the longest time for which a grant of the reserved slots
// of a pool, or a dispatch made under it, can last after its last renewal.
func (c *Core) adoptionWait(p int) time.Duration {
	return c.timing.Lease + c.dispatchTimeout(p)
}

// resetAdoptableZones discards the adopter roles held before a pause.
func (c *Core) resetAdoptableZones() {
	for i := range c.adoptableZones {
		adoptable := &c.adoptableZones[i]
		adoptable.isAdopter = false
		adoptable.adopterSince = c.now
	}
}

// updateAdoptions adopts the pools of silent zones, and returns them as soon as an
// instance of the zone is live again or another instance is the adopter.
func (c *Core) updateAdoptions() {
	candidates := c.servingZoneMembers()
	for i := range c.adoptableZones {
		adoptable := &c.adoptableZones[i]
		c.updateAdopterRole(adoptable, candidates)
		live := c.anyInstanceLive(adoptable)
		if adoptable.live && !live {
			c.emit(Event{Kind: EventZoneUnreachable, Zone: c.ix.zones[adoptable.zone].name, Duration: c.timing.Lease})
		}
		adoptable.live = live
		if live || !adoptable.isAdopter {
			c.returnPools(adoptable)
			continue
		}
		c.adoptPools(adoptable)
	}
}

// updateAdopterRole determines whether this instance is the designated adopter of
// the zone.
func (c *Core) updateAdopterRole(adoptable *adoptableZone, candidates []int) {
	name := c.ix.zones[adoptable.zone].name
	isAdopter := c.state == Serving && c.ix.best(adopterKey(name), candidates) == c.self
	if c.adoptedByOthers(adoptable) {
		adoptable.otherAdopterPossibleAt = c.now
	}
	if isAdopter && !adoptable.isAdopter {
		adoptable.adopterSince = c.now
		if c.zonePeerFailed() {
			adoptable.otherAdopterPossibleAt = c.now
		}
	}
	adoptable.isAdopter = isAdopter
}

// adoptedByOthers reports whether another live instance of the local zone lists
// pools of the adoptable zone as owned.
func (c *Core) adoptedByOthers(adoptable *adoptableZone) bool {
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self || !c.alive(i) {
			continue
		}
		for _, p := range c.members[i].owned {
			if p < len(c.ix.pools) && c.ix.pools[p].zone == adoptable.zone {
				return true
			}
		}
	}
	return false
}

// zonePeerFailed reports whether an instance of the local zone that was heard
// from has failed: it may have been the adopter.
func (c *Core) zonePeerFailed() bool {
	return slices.ContainsFunc(c.ix.zones[c.zone].instances, func(i int) bool {
		return i != c.self && c.members[i].failed && c.members[i].heard
	})
}

// anyInstanceLive reports whether any instance of the adoptable zone is live.
func (c *Core) anyInstanceLive(adoptable *adoptableZone) bool {
	return slices.ContainsFunc(c.ix.zones[adoptable.zone].instances, func(i int) bool {
		return c.alive(i)
	})
}

// grantsFor returns the pools that the heartbeat to an instance grants, and
// records the time of the grant. A grant lasts one lease from when the heartbeat
// that it echoes was sent, which is not after the instance was last heard from.
func (c *Core) grantsFor(i int) []int {
	if !c.members[i].heard || c.members[i].failed {
		return nil
	}
	for n := range c.adoptableZones {
		adoptable := &c.adoptableZones[n]
		if adoptable.zone != c.ix.instances[i].zone {
			continue
		}
		grants := slices.DeleteFunc(c.grantablePools(adoptable), func(p int) bool { return !c.ownsOrClaims(i, p) })
		if len(grants) > 0 {
			adoptable.lastGrantedAt[i] = c.members[i].heardAt
		}
		return grants
	}
	return nil
}

// ownsOrClaims reports whether an instance lists a pool as owned or claimed. Only
// such instances need a grant.
func (c *Core) ownsOrClaims(i, p int) bool {
	return slices.Contains(c.members[i].owned, p) || slices.Contains(c.members[i].claimed, p)
}

// grantablePools returns the pools of the zone whose reserved slots may be
// granted to it. It maintains the invariant that the reserved slots of a pool are
// never used by its home zone and by an adopter at the same time.
func (c *Core) grantablePools(adoptable *adoptableZone) []int {
	if !adoptable.isAdopter || c.adoptedByOthers(adoptable) {
		return nil
	}
	var grants []int
	for _, p := range c.ix.zones[adoptable.zone].pools {
		if !c.pools[p].owned && !c.mayBeInFlight(p) && !c.earlierUsePossible(adoptable, p) {
			grants = append(grants, p)
		}
	}
	return grants
}

// earlierUsePossible reports whether a former adopter, or a former run of an
// instance of the local zone, may still have requests in flight at the pool.
func (c *Core) earlierUsePossible(adoptable *adoptableZone, p int) bool {
	if !adoptable.otherAdopterPossibleAt.IsZero() && c.now.Before(adoptable.otherAdopterPossibleAt.Add(c.adoptionWait(p))) {
		return true
	}
	return len(c.uncleanRuns) > 0 && c.now.Before(c.start.Add(c.adoptionWait(p)))
}

// adoptPools takes those pools of a silent zone for which the last grants have
// expired and the dispatches made under them have ended.
func (c *Core) adoptPools(adoptable *adoptableZone) {
	left := c.allInstancesLeft(adoptable)
	for _, p := range c.ix.zones[adoptable.zone].pools {
		if c.pools[p].owned {
			continue
		}
		wait := c.adoptionWait(p)
		if !left && c.now.Before(adoptable.adopterSince.Add(wait)) {
			continue
		}
		if c.now.Before(c.lastGrant(adoptable).Add(wait)) {
			continue
		}
		c.pools[p].owned = true
		c.pools[p].adopted = true
		c.gossip.makeDigestDue()
		c.emit(Event{Kind: EventPoolAdopted, Pool: c.ix.pools[p].id, Zone: c.ix.zones[adoptable.zone].name})
	}
}

// allInstancesLeft reports whether all instances of the adoptable zone have
// completed a planned stop, so that none of their requests is in flight.
func (c *Core) allInstancesLeft(adoptable *adoptableZone) bool {
	for _, i := range c.ix.zones[adoptable.zone].instances {
		if c.members[i].state != Left {
			return false
		}
	}
	return true
}

// lastGrant returns the time of the newest grant to an instance that has not
// completed a planned stop since.
func (c *Core) lastGrant(adoptable *adoptableZone) time.Time {
	var last time.Time
	for i, at := range adoptable.lastGrantedAt {
		if c.members[i].state != Left {
			last = later(last, at)
		}
	}
	return last
}

// returnPools stops dispatching to the adopted pools of the zone.
func (c *Core) returnPools(adoptable *adoptableZone) {
	for _, p := range c.ix.zones[adoptable.zone].pools {
		if c.pools[p].owned {
			c.returnPool(p)
		}
	}
}

func (c *Core) returnPool(p int) {
	c.pools[p].owned = false
	c.pools[p].adopted = false
	c.pools[p].stoppedAt = c.now
	c.gossip.makeDigestDue()
	c.emit(Event{Kind: EventPoolReturned, Pool: c.ix.pools[p].id})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
