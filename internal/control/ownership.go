package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/work"
)

// poolState is the ownership state of one pool at this instance.
type poolState struct {
	owned   bool
	adopted bool
	// claimedAt is when this instance claimed the pool, or zero without a claim.
	claimedAt time.Time
	// stoppedAt is when this instance stopped dispatching to the pool. The load
	// passed in counts all its requests in flight from the next tick on.
	stoppedAt time.Time
	// blockedUntil holds, by instance, until when requests of that instance may
	// still be in flight at the pool's upstreams.
	blockedUntil map[int]time.Time
	// occupied holds, by former owner, its requests that are still in flight.
	occupied map[int]occupancy
	// releasing is set after this instance released the pool, until the next
	// owner owns it and no requests of this instance are in flight.
	releasing bool
	// grantLapsed is set while the grant for the reserved slots has expired.
	grantLapsed bool
}

type occupancy struct {
	count     int
	expiresAt time.Time
}

func newPoolStates(ix *index) []poolState {
	pools := make([]poolState, len(ix.pools))
	for i := range pools {
		pools[i].blockedUntil = map[int]time.Time{}
		pools[i].occupied = map[int]occupancy{}
	}
	return pools
}

// block prevents the pool from being acquired before until.
func (p *poolState) block(instance int, until time.Time) {
	if until.After(p.blockedUntil[instance]) {
		p.blockedUntil[instance] = until
	}
}

// isBlocked reports whether any block is still in effect, and deletes those that
// have expired.
func (p *poolState) isBlocked(now time.Time) bool {
	for instance, until := range p.blockedUntil {
		if !until.After(now) {
			delete(p.blockedUntil, instance)
		}
	}
	return len(p.blockedUntil) > 0
}

// occupiedSlots returns the number of requests of former owners that are still in
// flight, and deletes expired entries.
func (p *poolState) occupiedSlots(now time.Time) int {
	total := 0
	for instance, o := range p.occupied {
		if !o.expiresAt.After(now) || o.count == 0 {
			delete(p.occupied, instance)
			continue
		}
		total += o.count
	}
	return total
}

// blockUncleanRuns records runs that may still have requests in flight, and
// blocks the pools of the local zone, and grants for pools of others, until
// these requests must have ended.
func (c *Core) blockUncleanRuns(runs []Identity) {
	c.uncleanRuns = map[Identity]bool{}
	for _, run := range runs {
		i, declared := c.ix.byName[run.Instance]
		if !declared {
			continue
		}
		c.uncleanRuns[run] = true
		for _, p := range c.ix.zones[c.zone].pools {
			c.pools[p].block(i, c.start.Add(c.timing.Lease+c.dispatchTimeout(p)))
		}
	}
}

// unblockLiveRun removes the block for an unclean run that is still live, since
// its heartbeats list what it owns. The block stays if another run of the same
// instance is unclean.
func (c *Core) unblockLiveRun(i int, incarnation uint64) {
	run := Identity{Instance: c.ix.instances[i].Name, Incarnation: incarnation}
	if !c.uncleanRuns[run] {
		return
	}
	delete(c.uncleanRuns, run)
	for other := range c.uncleanRuns {
		if other.Instance == run.Instance {
			return
		}
	}
	for _, p := range c.ix.zones[c.zone].pools {
		delete(c.pools[p].blockedUntil, i)
	}
}

// blockPoolsOf blocks the pools to which an instance of the local zone, last
// heard from at heardAt, may still be dispatching. The block lasts for a lease
// and the dispatch timeout: an instance stops dispatching within a lease of
// being cut off or paused, and each dispatch ends within the dispatch timeout.
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

// ownedByOther reports whether a live zone peer other than i lists the pool.
func (c *Core) ownedByOther(p, i int) bool {
	return slices.ContainsFunc(c.liveZonePeers(), func(other int) bool {
		return other != i && slices.Contains(c.members[other].owned, p)
	})
}

// liveZonePeers returns the other live instances of the local zone.
func (c *Core) liveZonePeers() []int {
	var live []int
	for _, i := range c.ix.zones[c.zone].instances {
		if i != c.self && c.alive(i) {
			live = append(live, i)
		}
	}
	return live
}

// updateOwnership acquires and releases pools of the local zone, so that each
// pool is owned by its designated owner: the serving instance of the highest
// rendezvous rank, which is the same for all members with the same view.
func (c *Core) updateOwnership() {
	if !c.participatesInOwnership() {
		return
	}
	candidates := c.servingZoneMembers()
	for _, p := range c.ix.zones[c.zone].pools {
		designated := c.ix.best("pool/"+c.ix.pools[p].id.String(), candidates)
		switch {
		case c.pools[p].owned && designated >= 0 && designated != c.self:
			// The pool stays here until the designated owner is ready to take it.
			if slices.Contains(c.members[designated].claimed, p) {
				c.release(p)
			}
		case !c.pools[p].owned && designated == c.self:
			c.acquire(p)
		default:
			c.pools[p].claimedAt = time.Time{}
		}
		c.updateGrantLapse(p)
	}
}

// acquire takes a pool in two steps. First it announces a claim, upon which the
// current owner releases the pool. The pool is owned once every live instance of
// the zone has acknowledged the claim and none owns or claims the pool. Two
// instances whose views differ temporarily therefore never both own it.
func (c *Core) acquire(p int) {
	pool := &c.pools[p]
	if pool.isBlocked(c.now) || c.higherRankedClaim(p) {
		pool.claimedAt = time.Time{}
		return
	}
	if pool.claimedAt.IsZero() {
		pool.claimedAt = c.now
		c.gossip.nextHeartbeat = time.Time{}
	}
	if c.ownedByOther(p, c.self) || !c.claimConfirmed(p) {
		return
	}
	pool.owned = true
	pool.releasing = false
	pool.claimedAt = time.Time{}
	c.gossip.makeDigestDue()
	c.gossip.nextHeartbeat = time.Time{}
	c.emit(Event{Kind: EventPoolOwned, Pool: c.ix.pools[p].id})
}

// higherRankedClaim reports whether a live peer of higher rank claims the pool.
func (c *Core) higherRankedClaim(p int) bool {
	key := "pool/" + c.ix.pools[p].id.String()
	return slices.ContainsFunc(c.liveZonePeers(), func(i int) bool {
		return slices.Contains(c.members[i].claimed, p) &&
			c.ix.best(key, []int{c.self, i}) == i
	})
}

// claimConfirmed reports whether all live peers in the zone have acknowledged the
// claim and none claims the pool.
func (c *Core) claimConfirmed(p int) bool {
	for _, i := range c.liveZonePeers() {
		m := &c.members[i]
		if m.ackedAt.Before(c.pools[p].claimedAt) || slices.Contains(m.claimed, p) {
			return false
		}
	}
	return true
}

// release stops dispatching to a pool of the local zone. Requests in flight are
// not canceled; their number is reported to the next owner.
func (c *Core) release(p int) {
	pool := &c.pools[p]
	pool.owned = false
	pool.grantLapsed = false
	pool.releasing = true
	pool.stoppedAt = c.now
	c.gossip.makeDigestDue()
	c.emit(Event{Kind: EventPoolReleased, Pool: c.ix.pools[p].id})
}

// releaseAllPools releases owned pools, returns adopted ones and drops claims.
func (c *Core) releaseAllPools() {
	for p := range c.pools {
		c.pools[p].claimedAt = time.Time{}
		switch {
		case !c.pools[p].owned:
		case c.pools[p].adopted:
			c.returnPool(p)
		default:
			c.release(p)
		}
	}
}

// updateGrantLapse emits an event when the grant for the reserved slots of a pool
// expires or becomes valid again.
func (c *Core) updateGrantLapse(p int) {
	pool := &c.pools[p]
	if !pool.owned || pool.adopted {
		return
	}
	lapsed := !c.fullUntil(p).After(c.now)
	if lapsed == pool.grantLapsed {
		return
	}
	pool.grantLapsed = lapsed
	kind := EventGrantRenewed
	if lapsed {
		kind = EventGrantLapsed
	}
	c.emit(Event{Kind: kind, Pool: c.ix.pools[p].id})
}

// sendReleases sends a release for each released pool, once per heartbeat
// interval, until the next owner lists the pool as owned and no requests of this
// instance are in flight.
func (c *Core) sendReleases() {
	if c.now.Before(c.gossip.nextHeartbeat) {
		return
	}
	byOwner := map[int][]PoolStatus{}
	candidates := slices.DeleteFunc(c.servingZoneMembers(), func(i int) bool { return i == c.self })
	for _, p := range c.ix.zones[c.zone].pools {
		pool := &c.pools[p]
		if !pool.releasing || !c.now.After(pool.stoppedAt) {
			continue
		}
		id := c.ix.pools[p].id
		next := c.ix.best("pool/"+id.String(), candidates)
		if next < 0 {
			continue
		}
		busy := c.poolLoads[p].Busy
		if busy == 0 && slices.Contains(c.members[next].owned, p) {
			pool.releasing = false
			continue
		}
		byOwner[next] = append(byOwner[next], PoolStatus{Pool: id, Busy: busy})
	}
	for _, next := range sortedKeys(byOwner) {
		c.send(next, Message{Release: &Release{SentAt: c.nextSentAt(), Pools: byOwner[next]}})
	}
}

// onRelease unblocks the pools that the sender released, and counts the requests
// that it still has in flight against their slots.
func (c *Core) onRelease(from int, r *Release) {
	m := &c.members[from]
	if c.ix.instances[from].zone != c.zone || r.SentAt < m.releaseSentAt {
		return
	}
	m.releaseSentAt = r.SentAt
	for _, status := range r.Pools {
		p, known := c.ix.byPool[status.Pool]
		if !known || c.ix.pools[p].zone != c.zone {
			continue
		}
		m.owned = slices.DeleteFunc(m.owned, func(owned int) bool { return owned == p })
		delete(c.pools[p].blockedUntil, from)
		c.pools[p].occupied[from] = occupancy{
			count:     status.Busy,
			expiresAt: c.now.Add(c.dispatchTimeout(p)),
		}
	}
}

// baseUntil returns until when any slot may be used: a live peer in the zone that
// has acknowledged nothing for a lease may have taken the pools over.
func (c *Core) baseUntil() time.Time {
	until := c.now.Add(MaxSnapshotAge)
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self || !c.alive(i) || c.members[i].state != Serving {
			continue
		}
		if leaseEnd := c.members[i].ackedAt.Add(c.timing.Lease); leaseEnd.Before(until) {
			until = leaseEnd
		}
	}
	return until
}

// fullUntil returns until when the reserved slots of a pool may be used: for one
// lease after the newest grant of the adopting zone, or for one lease from now if
// no zone can adopt the pool.
func (c *Core) fullUntil(p int) time.Time {
	adopter := c.ix.zones[c.zone].adopterZone
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

// ownedIndexes returns the pools that this instance dispatches to, and those of
// other zones that it returned with requests still in flight.
func (c *Core) ownedIndexes() []int {
	var owned []int
	for p := range c.pools {
		if c.pools[p].owned || c.ix.pools[p].zone != c.zone && c.mayBeInFlight(p) {
			owned = append(owned, p)
		}
	}
	return owned
}

// mayBeInFlight reports whether requests of this instance may be in flight at a
// pool. For the tick in which it stopped dispatching, the load is not yet exact.
func (c *Core) mayBeInFlight(p int) bool {
	stoppedAt := c.pools[p].stoppedAt
	return c.poolLoads[p].Busy > 0 || !stoppedAt.IsZero() && !c.now.After(stoppedAt)
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

// grants returns the grants of all owned pools for the snapshot.
func (c *Core) grants() map[work.PoolID]Grant {
	grants := map[work.PoolID]Grant{}
	base := c.baseUntil()
	for p := range c.pools {
		pool := &c.pools[p]
		if !pool.owned {
			continue
		}
		g := Grant{BaseUntil: base, Occupied: pool.occupiedSlots(c.now), Adopted: pool.adopted}
		if pool.adopted {
			g.BaseUntil = c.now.Add(MaxSnapshotAge)
		} else {
			g.FullUntil = c.fullUntil(p)
		}
		grants[c.ix.pools[p].id] = g
	}
	return grants
}
