package control

import (
	"maps"
	"slices"
	"time"
)

const (
	// speakersPerZone is the number of instances of a zone that exchange digests
	// with other zones and send digests to all members of their own.
	speakersPerZone = 2
	// fullMeshZones is the number of zones up to which speakers send digests to
	// all other zones in each interval. With more zones they send to those of
	// their region in each interval, and to the others in rotation.
	fullMeshZones = 8
	// zoneFanout is the number of zones of other regions to which a speaker sends
	// in one interval if there are more than fullMeshZones.
	zoneFanout = 4
	// rowBytes is the size of an encoded digest row with one pool.
	rowBytes = 60
	// refreshBytesPerSecond and loadBytesPerSecond are the send budgets of a
	// speaker for refreshes of unchanged rows, and for rows of which only the
	// load changed.
	refreshBytesPerSecond = 3000
	loadBytesPerSecond    = 6000
	minRefreshInterval    = time.Second
	// missedRefreshLimit is the number of refresh intervals after which an
	// instance no longer counts as live if its row has not been updated.
	missedRefreshLimit = 4
	// rowsPerMessage keeps a digest within one datagram.
	rowsPerMessage = 12
)

// gossip is the state of dissemination: when messages are due, and which changes
// have been sent to each instance.
type gossip struct {
	nextHeartbeat time.Time
	nextDigest    time.Time
	nextRefresh   time.Time
	nextLoad      time.Time
	// refreshInterval is the interval between refreshes of the local row,
	// minLoadInterval the shortest interval between updates of it for a change
	// of load, and rowTimeout the age at which a row no longer shows its
	// instance as live.
	refreshInterval time.Duration
	minLoadInterval time.Duration
	rowTimeout      time.Duration
	// rowClock is a logical clock that counts changes of rows. changeCount counts
	// the changes of more than the load. sentClock holds, by instance, rowClock
	// at the last digest to it, and 0 if all rows are to be sent.
	rowClock    uint64
	changeCount uint64
	sentClock   map[int]uint64
	// heardZones are the zones to report to the speakers of the local zone in
	// this digest interval.
	heardZones []int
	// zoneVersions are the configuration versions of other zones to send to the
	// members of the local zone in this digest interval.
	zoneVersions []ZoneVersion
	// isSpeaker is set while this instance is a speaker of its zone.
	isSpeaker bool
	// urgentClock is the rowClock of the newest change in the local zone that is
	// to be sent to all zones in the next digest, urgentSentClock that of the
	// newest one sent.
	urgentClock, urgentSentClock uint64
	// round counts the digest intervals as speaker. It selects the zones of other
	// regions in rotation.
	round int
	// localRow is the row about this instance as last published, localSequence
	// its Sequence.
	localSequence uint64
	localRow      DigestRow
	// maxDispatchTimeouts holds, by service, the longest dispatch timeout of any
	// preset seen since the start.
	maxDispatchTimeouts map[string]time.Duration
}

// newGossip sets the intervals so that a speaker, which relays each row to all
// members of its zone, stays within its send budgets.
func newGossip(ix *index) gossip {
	zone, region := ix.largestZone(), ix.largestRegion()
	refreshInterval := max(minRefreshInterval, transmitTime(len(ix.instances)*zone, refreshBytesPerSecond))
	return gossip{
		refreshInterval: refreshInterval,
		minLoadInterval: transmitTime(region*zone, loadBytesPerSecond),
		rowTimeout:      missedRefreshLimit * refreshInterval,
		sentClock:       map[int]uint64{},
	}
}

// transmitTime returns the time that it takes to send rows at a byte rate.
func transmitTime(rows, bytesPerSecond int) time.Duration {
	return time.Duration(rows*rowBytes) * time.Second / time.Duration(bytesPerSecond)
}

// markChanged marks a row as changed, so that the next digests to the whole fleet
// contain it.
func (g *gossip) markChanged(m *member) {
	g.markLoadChanged(m)
	g.changeCount++
	m.changeClock = g.rowClock
}

// markLoadChanged marks a row of which only the load or the configuration version
// changed. Without a full mesh of zones it is sent only within its own region.
func (g *gossip) markLoadChanged(m *member) {
	g.rowClock++
	m.loadClock = g.rowClock
}

// markUrgent marks a row of the local zone as changed, so that the next digests
// go to all zones.
func (g *gossip) markUrgent(m *member) {
	g.markChanged(m)
	g.urgentClock = g.rowClock
}

// makeDigestDue makes the next digest due on the next tick.
func (g *gossip) makeDigestDue() { g.nextDigest = time.Time{} }

func (c *Core) hasRow(i int) bool {
	return i == c.self || c.members[i].incarnation > 0
}

// rowFor returns the digest row about an instance. Failures within the local
// zone are those that this instance has detected.
func (c *Core) rowFor(i int) DigestRow {
	if i == c.self {
		return c.gossip.localRow
	}
	m := &c.members[i]
	failed := m.reportedFailed
	if c.ix.instances[i].zone == c.zone {
		failed = m.failed
	}
	return DigestRow{
		Instance:      c.ix.instances[i].Name,
		Incarnation:   m.incarnation,
		Sequence:      m.sequence,
		State:         m.state,
		ConfigVersion: m.configVersion,
		InheritedRuns: m.inheritedRuns,
		Pools:         m.poolLoads,
		Failed:        failed,
	}
}

// updateLocalRow publishes the local row with a higher sequence if it changed or
// if a refresh is due. Changes of the load alone are limited to one per
// minLoadInterval.
func (c *Core) updateLocalRow() {
	row := DigestRow{
		Instance:      c.identity.Instance,
		Incarnation:   c.identity.Incarnation,
		State:         c.state,
		ConfigVersion: c.config.Version,
		InheritedRuns: c.inheritedRuns(),
		Pools:         c.localPoolLoads(),
	}
	refreshDue := !c.now.Before(c.gossip.nextRefresh)
	urgent := row.State != c.gossip.localRow.State || !slices.Equal(row.InheritedRuns, c.gossip.localRow.InheritedRuns)
	poolsChanged := urgent || !samePools(row.Pools, c.gossip.localRow.Pools)
	loadDue := !c.now.Before(c.gossip.nextLoad) && !sameContent(row, c.gossip.localRow)
	if !refreshDue && !poolsChanged && !loadDue {
		return
	}
	if refreshDue {
		c.gossip.nextRefresh = c.now.Add(c.gossip.refreshInterval)
	}
	c.gossip.nextLoad = c.now.Add(c.gossip.minLoadInterval)
	c.gossip.localSequence++
	row.Sequence = c.gossip.localSequence
	c.gossip.localRow = row
	self := &c.members[c.self]
	switch {
	case urgent:
		c.gossip.markUrgent(self)
	case refreshDue || poolsChanged:
		c.gossip.markChanged(self)
	default:
		c.gossip.markLoadChanged(self)
	}
}

func sameContent(a, b DigestRow) bool {
	return a.State == b.State && a.ConfigVersion == b.ConfigVersion &&
		slices.Equal(a.InheritedRuns, b.InheritedRuns) && slices.Equal(a.Pools, b.Pools)
}

// samePools reports whether both lists contain the same pools in the same order.
func samePools(a, b []PoolStatus) bool {
	return slices.EqualFunc(a, b, func(x, y PoolStatus) bool { return x.Pool == y.Pool })
}

// localPoolLoads returns the loads of the pools that this instance owns.
func (c *Core) localPoolLoads() []PoolStatus {
	var pools []PoolStatus
	for p := range c.pools {
		if !c.pools[p].owned {
			continue
		}
		status, known := c.poolLoads[p]
		if !known {
			status = PoolStatus{Pool: c.ix.pools[p].id}
		}
		pools = append(pools, status)
	}
	return pools
}

func sortedKeys[V any](m map[int]V) []int {
	return slices.Sorted(maps.Keys(m))
}
