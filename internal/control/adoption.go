package control

import (
	"slices"
	"time"
)

// ward is a zone of the same region whose pools this zone adopts while all of
// its instances are silent.
type ward struct {
	zone int
	// holder is set where this instance is the one that grants and adopts.
	holder bool
	// heard is set while any instance of the ward is heard.
	heard bool
	// since is when this instance became holder or last lost track of time.
	since time.Time
	// doubt is when it was last possible that a former holder dispatched to
	// reserved slots. Until its dispatches have ended a pool is not granted.
	doubt time.Time
	// granted holds, by instance of the ward, when the heartbeat arrived that
	// the last grant answered.
	granted map[int]time.Time
}

func adopterKey(zone string) string { return "adopter/" + zone }

// newWards returns the zones that the own zone adopts.
func (c *Core) newWards() []ward {
	var wards []ward
	for z := range c.ix.zones {
		if c.ix.zones[z].adopter == c.zone {
			wards = append(wards, ward{zone: z, since: c.start, granted: map[int]time.Time{}})
		}
	}
	return wards
}

// adoptionWait is the longest time for which a right to the reserved slots of
// a pool, or a dispatch made under it, can outlast its last renewal.
func (c *Core) adoptionWait(p int) time.Duration {
	return c.timing.Lease + c.dispatchTimeout(p)
}

// resetWards forgets what was known before a pause.
func (c *Core) resetWards() {
	for i := range c.wards {
		w := &c.wards[i]
		w.holder = false
		w.since = c.now
	}
}

// updateWards adopts the pools of silent zones and gives them back as soon as
// one of their instances is heard again.
func (c *Core) updateWards() {
	candidates := c.servingMates()
	for i := range c.wards {
		w := &c.wards[i]
		c.updateHolder(w, candidates)
		heard := c.wardHeard(w)
		if w.heard && !heard {
			c.emit(Event{Kind: EventZoneSilent, Zone: c.ix.zones[w.zone].name, Duration: c.timing.Lease})
		}
		w.heard = heard
		if heard || !w.holder {
			c.giveBackAll(w)
			continue
		}
		c.adoptPools(w)
	}
}

// updateHolder decides whether this instance grants and adopts for the ward.
func (c *Core) updateHolder(w *ward, candidates []int) {
	name := c.ix.zones[w.zone].name
	holder := c.state == Serving && c.ix.best(adopterKey(name), candidates) == c.self
	if c.othersAdopted(w) {
		w.doubt = c.now
	}
	if holder && !w.holder {
		w.since = c.now
		if c.mateFailed() {
			w.doubt = c.now
		}
	}
	w.holder = holder
}

// othersAdopted reports whether another instance of the own zone lists pools
// of the ward.
func (c *Core) othersAdopted(w *ward) bool {
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self || !c.alive(i) {
			continue
		}
		for _, p := range c.members[i].owned {
			if p < len(c.ix.pools) && c.ix.pools[p].zone == w.zone {
				return true
			}
		}
	}
	return false
}

// mateFailed reports whether an instance of the own zone was heard and is now
// silent: it may have been the holder.
func (c *Core) mateFailed() bool {
	return slices.ContainsFunc(c.ix.zones[c.zone].instances, func(i int) bool {
		return i != c.self && c.members[i].failed && c.members[i].heard
	})
}

// wardHeard reports whether any instance of the ward was heard within a lease.
func (c *Core) wardHeard(w *ward) bool {
	return slices.ContainsFunc(c.ix.zones[w.zone].instances, func(i int) bool {
		return c.alive(i)
	})
}

// grantsTo returns the pools that the heartbeat to the instance grants, and
// notes them. A grant lasts one lease from the sending of the heartbeat that it
// echoes, which is no later than the time the instance was last heard.
func (c *Core) grantsTo(i int) []int {
	if !c.members[i].heard || c.members[i].failed {
		return nil
	}
	for n := range c.wards {
		w := &c.wards[n]
		if w.zone != c.ix.instances[i].zone {
			continue
		}
		grants := slices.DeleteFunc(c.grantable(w), func(p int) bool { return !c.dispatches(i, p) })
		if len(grants) > 0 {
			w.granted[i] = c.members[i].heardAt
		}
		return grants
	}
	return nil
}

// dispatches reports whether an instance says that it owns a pool or is about
// to: no other has a use for a grant.
func (c *Core) dispatches(i, p int) bool {
	return slices.Contains(c.members[i].owned, p) || slices.Contains(c.members[i].claimed, p)
}

// grantable protects the invariant that the reserved slots of a pool are never
// used by the ward and by its adopter at the same time.
func (c *Core) grantable(w *ward) []int {
	if !w.holder || c.othersAdopted(w) {
		return nil
	}
	var grants []int
	for _, p := range c.ix.zones[w.zone].pools {
		if !c.pools[p].owned && !c.inFlight(p) && !c.doubtful(w, p) {
			grants = append(grants, p)
		}
	}
	return grants
}

// doubtful reports whether a former holder, or a former run of an instance of
// this zone, may still have requests in flight at the pool.
func (c *Core) doubtful(w *ward, p int) bool {
	if !w.doubt.IsZero() && c.now.Before(w.doubt.Add(c.adoptionWait(p))) {
		return true
	}
	return len(c.unclean) > 0 && c.now.Before(c.start.Add(c.adoptionWait(p)))
}

// adoptPools takes the pools of a silent ward whose last grants, and the
// dispatches made under them, have run out.
func (c *Core) adoptPools(w *ward) {
	left := c.wardLeft(w)
	for _, p := range c.ix.zones[w.zone].pools {
		if c.pools[p].owned {
			continue
		}
		wait := c.adoptionWait(p)
		if !left && c.now.Before(w.since.Add(wait)) {
			continue
		}
		if c.now.Before(c.lastGrant(w).Add(wait)) {
			continue
		}
		c.pools[p].owned = true
		c.pools[p].adopted = true
		c.spread.hurry()
		c.emit(Event{Kind: EventPoolAdopted, Pool: c.ix.pools[p].id, Zone: c.ix.zones[w.zone].name})
	}
}

// wardLeft reports whether all instances of the ward have said that they
// finished, so that none of their requests is in flight.
func (c *Core) wardLeft(w *ward) bool {
	for _, i := range c.ix.zones[w.zone].instances {
		if c.members[i].state != Left {
			return false
		}
	}
	return true
}

// lastGrant returns the time of the newest grant to an instance that has not
// finished since.
func (c *Core) lastGrant(w *ward) time.Time {
	var last time.Time
	for i, at := range w.granted {
		if c.members[i].state != Left {
			last = later(last, at)
		}
	}
	return last
}

// giveBackAll stops dispatching to the ward's pools.
func (c *Core) giveBackAll(w *ward) {
	for _, p := range c.ix.zones[w.zone].pools {
		if c.pools[p].owned {
			c.giveBack(p)
		}
	}
}

func (c *Core) giveBack(p int) {
	c.pools[p].owned = false
	c.pools[p].adopted = false
	c.pools[p].gaveUpAt = c.now
	c.spread.hurry()
	c.emit(Event{Kind: EventPoolReturned, Pool: c.ix.pools[p].id})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
