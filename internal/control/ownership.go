package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

// ownedPool is the state of one pool as this instance may dispatch to it.
type ownedPool struct {
	owned   bool
	adopted bool
	// claimedAt is when this instance announced that it is about to own the
	// pool; zero where it did not.
	claimedAt time.Time
	// gaveUpAt is when this instance stopped dispatching to the pool. Its load
	// is exact from the next tick on.
	gaveUpAt time.Time
	// blocked holds, by instance, the time until which that instance's
	// requests may still be in flight at the pool's upstreams.
	blocked map[int]time.Time
	// occupied counts, by former owner, the requests it still has in flight.
	occupied map[int]occupancy
	// releasing is set after this instance gave the pool up, until the next
	// owner has it and nothing is in flight.
	releasing bool
	// lapsed is set while the grant for the reserved slots has run out.
	lapsed bool
}

type occupancy struct {
	count int
	until time.Time
}

func newOwnedPools(ix *index) []ownedPool {
	pools := make([]ownedPool, len(ix.pools))
	for i := range pools {
		pools[i].blocked = map[int]time.Time{}
		pools[i].occupied = map[int]occupancy{}
	}
	return pools
}

// block keeps the pool from being taken before the time until.
func (p *ownedPool) block(instance int, until time.Time) {
	if until.After(p.blocked[instance]) {
		p.blocked[instance] = until
	}
}

// isBlocked forgets what has passed and reports whether anything is left.
func (p *ownedPool) isBlocked(now time.Time) bool {
	for instance, until := range p.blocked {
		if !until.After(now) {
			delete(p.blocked, instance)
		}
	}
	return len(p.blocked) > 0
}

// occupiedBy returns the requests of former owners that are still in flight.
func (p *ownedPool) occupiedBy(now time.Time) int {
	total := 0
	for instance, o := range p.occupied {
		if !o.until.After(now) || o.count == 0 {
			delete(p.occupied, instance)
			continue
		}
		total += o.count
	}
	return total
}

// blockUnclean blocks the pools of the own zone, and grants, for runs that may
// still have requests in flight.
func (c *Core) blockUnclean(runs []Identity) {
	c.unclean = map[Identity]bool{}
	for _, run := range runs {
		i, declared := c.ix.byName[run.Instance]
		if !declared {
			continue
		}
		c.unclean[run] = true
		for _, p := range c.ix.zones[c.zone].pools {
			c.pools[p].block(i, c.start.Add(c.timing.Lease+c.dispatchTimeout(p)))
		}
	}
}

// clearUnclean lifts the block for a run that turns out to be the present one:
// its heartbeats say what it owns. A second run of the instance keeps it.
func (c *Core) clearUnclean(i int, incarnation uint64) {
	run := Identity{Instance: c.ix.instances[i].Name, Incarnation: incarnation}
	if !c.unclean[run] {
		return
	}
	delete(c.unclean, run)
	for other := range c.unclean {
		if other.Instance == run.Instance {
			return
		}
	}
	for _, p := range c.ix.zones[c.zone].pools {
		delete(c.pools[p].blocked, i)
	}
}

// blockPoolsOf blocks the pools that an instance of the own zone, last heard
// at the time given, may still be dispatching to. The instance notices its own
// pause within a lease and bounds each dispatch by the dispatch timeout.
func (c *Core) blockPoolsOf(i int, heardAt time.Time) {
	if c.ix.instances[i].zone != c.zone {
		return
	}
	for _, p := range c.ix.zones[c.zone].pools {
		if c.pools[p].owned || c.ownedByOther(p, i) {
			continue
		}
		c.pools[p].block(i, heardAt.Add(c.timing.Lease+c.dispatchTimeout(p)))
	}
	c.members[i].owned = nil
	c.members[i].claimed = nil
}

// ownedByOther reports whether a live instance other than i lists the pool.
func (c *Core) ownedByOther(p, i int) bool {
	return slices.ContainsFunc(c.liveMates(), func(other int) bool {
		return other != i && slices.Contains(c.members[other].owned, p)
	})
}

// liveMates returns the other live instances of the own zone.
func (c *Core) liveMates() []int {
	var mates []int
	for _, i := range c.ix.zones[c.zone].instances {
		if i != c.self && c.alive(i) {
			mates = append(mates, i)
		}
	}
	return mates
}

// updateOwnership takes and gives up the pools of the own zone, so that each
// has the owner that all members of the zone compute from the same view.
func (c *Core) updateOwnership() {
	if !c.owns() {
		return
	}
	candidates := c.servingMates()
	for _, p := range c.ix.zones[c.zone].pools {
		winner := c.ix.best("pool/"+c.ix.pools[p].id.String(), candidates)
		switch {
		case c.pools[p].owned && winner >= 0 && winner != c.self:
			// The pool keeps its owner until the next one is able to take it.
			if slices.Contains(c.members[winner].claimed, p) {
				c.release(p)
			}
		case !c.pools[p].owned && winner == c.self:
			c.acquire(p)
		default:
			c.pools[p].claimedAt = time.Time{}
		}
		c.noteLapse(p)
	}
}

// acquire takes a pool in two steps: the claim is announced, upon which a
// present owner releases the pool, and the pool is owned once every live
// instance of the zone has acknowledged the claim without owning the pool or
// having a better claim. Two instances whose views differ
// for a moment therefore never both own it.
func (c *Core) acquire(p int) {
	pool := &c.pools[p]
	if pool.isBlocked(c.now) || c.betterClaim(p) {
		pool.claimedAt = time.Time{}
		return
	}
	if pool.claimedAt.IsZero() {
		pool.claimedAt = c.now
		c.spread.nextHeartbeat = time.Time{}
	}
	if c.ownedByOther(p, c.self) || !c.claimConfirmed(p) {
		return
	}
	pool.owned = true
	pool.releasing = false
	pool.claimedAt = time.Time{}
	c.spread.hurry()
	c.spread.nextHeartbeat = time.Time{}
	c.emit(Event{Kind: EventPoolOwned, Pool: c.ix.pools[p].id})
}

// betterClaim reports whether a live instance of higher rank claims the pool.
func (c *Core) betterClaim(p int) bool {
	key := "pool/" + c.ix.pools[p].id.String()
	return slices.ContainsFunc(c.liveMates(), func(i int) bool {
		return slices.Contains(c.members[i].claimed, p) &&
			c.ix.best(key, []int{c.self, i}) == i
	})
}

// claimConfirmed reports whether all live instances of the zone have seen the
// claim and none has one of its own.
func (c *Core) claimConfirmed(p int) bool {
	for _, i := range c.liveMates() {
		m := &c.members[i]
		if m.ackedAt.Before(c.pools[p].claimedAt) || slices.Contains(m.claimed, p) {
			return false
		}
	}
	return true
}

// release stops dispatching to a pool of the own zone. Requests in flight end
// by themselves and are reported to the next owner.
func (c *Core) release(p int) {
	pool := &c.pools[p]
	pool.owned = false
	pool.lapsed = false
	pool.releasing = true
	pool.gaveUpAt = c.now
	c.spread.hurry()
	c.emit(Event{Kind: EventPoolReleased, Pool: c.ix.pools[p].id})
}

// dropAllPools stops all dispatching at once.
func (c *Core) dropAllPools() {
	for p := range c.pools {
		c.pools[p].claimedAt = time.Time{}
		switch {
		case !c.pools[p].owned:
		case c.pools[p].adopted:
			c.giveBack(p)
		default:
			c.release(p)
		}
	}
}

// noteLapse reports when the grant for the reserved slots runs out or returns.
func (c *Core) noteLapse(p int) {
	pool := &c.pools[p]
	if !pool.owned || pool.adopted {
		return
	}
	lapsed := !c.fullUntil(p).After(c.now)
	if lapsed == pool.lapsed {
		return
	}
	pool.lapsed = lapsed
	kind := EventGrantRenewed
	if lapsed {
		kind = EventGrantLapsed
	}
	c.emit(Event{Kind: kind, Pool: c.ix.pools[p].id})
}

// sendReleases repeats the releases until the next owner lists the pool and
// nothing is in flight here.
func (c *Core) sendReleases() {
	if c.now.Before(c.spread.nextHeartbeat) {
		return
	}
	byOwner := map[int][]PoolStatus{}
	candidates := slices.DeleteFunc(c.servingMates(), func(i int) bool { return i == c.self })
	for _, p := range c.ix.zones[c.zone].pools {
		pool := &c.pools[p]
		if !pool.releasing || !c.now.After(pool.gaveUpAt) {
			continue
		}
		id := c.ix.pools[p].id
		next := c.ix.best("pool/"+id.String(), candidates)
		if next < 0 {
			continue
		}
		busy := c.load[p].Busy
		if busy == 0 && slices.Contains(c.members[next].owned, p) {
			pool.releasing = false
			continue
		}
		byOwner[next] = append(byOwner[next], PoolStatus{Pool: id, Busy: busy})
	}
	for _, next := range sortedKeys(byOwner) {
		c.send(next, Message{Release: &Release{SentAt: c.monotonic(), Pools: byOwner[next]}})
	}
}

// onRelease unblocks the pools that the sender gave up and counts what it
// still has in flight against the slots.
func (c *Core) onRelease(from int, r *Release) {
	m := &c.members[from]
	if c.ix.instances[from].zone != c.zone || r.SentAt < m.releasedAt {
		return
	}
	m.releasedAt = r.SentAt
	for _, status := range r.Pools {
		p, known := c.ix.byPool[status.Pool]
		if !known || c.ix.pools[p].zone != c.zone {
			continue
		}
		m.owned = slices.DeleteFunc(m.owned, func(owned int) bool { return owned == p })
		delete(c.pools[p].blocked, from)
		c.pools[p].occupied[from] = occupancy{
			count: status.Busy,
			until: c.now.Add(c.dispatchTimeout(p)),
		}
	}
}

// baseUntil bounds the use of any slot: a live instance of the own zone that
// has not acknowledged for a lease may have taken over.
func (c *Core) baseUntil() time.Time {
	until := c.now.Add(MaxSnapshotAge)
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self || !c.alive(i) || c.members[i].state != Serving {
			continue
		}
		if acked := c.members[i].ackedAt.Add(c.timing.Lease); acked.Before(until) {
			until = acked
		}
	}
	return until
}

// fullUntil bounds the use of the reserved slots of a pool by the newest grant
// of the adopting zone.
func (c *Core) fullUntil(p int) time.Time {
	adopter := c.ix.zones[c.zone].adopter
	if adopter < 0 || len(c.ix.zones[adopter].instances) == 0 {
		return c.now.Add(c.timing.Lease)
	}
	var granted time.Time
	for _, i := range c.ix.zones[adopter].instances {
		granted = later(granted, c.members[i].grantedAt[p])
	}
	if granted.IsZero() {
		return time.Time{}
	}
	return granted.Add(c.timing.Lease)
}

// ownedIndexes lists the pools this instance dispatches to, and those of other
// zones that it gave back and whose requests are still in flight.
func (c *Core) ownedIndexes() []int {
	var owned []int
	for p := range c.pools {
		if c.pools[p].owned || c.ix.pools[p].zone != c.zone && c.inFlight(p) {
			owned = append(owned, p)
		}
	}
	return owned
}

// inFlight reports whether requests of this instance may be in flight at a
// pool it no longer dispatches to.
func (c *Core) inFlight(p int) bool {
	gaveUpAt := c.pools[p].gaveUpAt
	return c.load[p].Busy > 0 || !gaveUpAt.IsZero() && !c.now.After(gaveUpAt)
}

func (c *Core) claimedIndexes() []int {
	var claimed []int
	for p := range c.pools {
		if !c.pools[p].claimedAt.IsZero() {
			claimed = append(claimed, p)
		}
	}
	return claimed
}

// grants builds the rights for the snapshot.
func (c *Core) grants() map[work.PoolID]Grant {
	grants := map[work.PoolID]Grant{}
	base := c.baseUntil()
	for p := range c.pools {
		pool := &c.pools[p]
		if !pool.owned {
			continue
		}
		g := Grant{BaseUntil: base, Occupied: pool.occupiedBy(c.now), Adopted: pool.adopted}
		if pool.adopted {
			g.BaseUntil = c.now.Add(MaxSnapshotAge)
		} else {
			g.FullUntil = c.fullUntil(p)
		}
		grants[c.ix.pools[p].id] = g
	}
	return grants
}
