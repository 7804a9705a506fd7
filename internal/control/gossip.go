package control

import (
	"maps"
	"slices"
	"time"
)

const (
	// speakerRanks is how many instances of a zone exchange digests with other
	// zones and with all members of their own.
	speakerRanks = 2
	// fullMeshZones is the number of zones up to which speakers send to all
	// other zones in each interval; above it they send to the zones of their
	// region, and to the others in turn.
	fullMeshZones = 8
	// zoneFanout is how many zones of other regions a speaker sends to in one
	// interval above fullMeshZones.
	zoneFanout = 4
	// rowBytes is the size of an encoded digest row with one pool.
	rowBytes = 60
	// refreshBytesPerSecond and loadBytesPerSecond are what a speaker may spend
	// on refreshing unchanged rows, and on rows of which only the load changed.
	refreshBytesPerSecond = 3000
	loadBytesPerSecond    = 6000
	// minRefresh is the shortest interval between refreshes of a row.
	minRefresh = time.Second
	// refreshesToTimeout is how many refreshes a remote row may miss before
	// its instance no longer counts as alive.
	refreshesToTimeout = 4
	// rowsPerMessage keeps a digest within one datagram.
	rowsPerMessage = 12
)

// spread is the state of dissemination: when what is due, and which changes
// each target has been sent.
type spread struct {
	nextHeartbeat time.Time
	nextDigest    time.Time
	nextRefresh   time.Time
	nextLoad      time.Time
	// refresh is the interval between refreshes of the own row, load the
	// shortest one between changes of its load.
	refresh time.Duration
	load    time.Duration
	timeout time.Duration
	// clock counts changes of rows; sentTo holds its value at the last digest
	// to an instance.
	// changes counts those that concern more than the load.
	clock   uint64
	changes uint64
	sentTo  map[int]uint64
	// heard lists the zones that the speakers of the own zone are told of.
	heard []int
	// versions lists the versions of other zones that the members of the own
	// zone are told.
	versions []ZoneVersion
	// speaking is set while this instance speaks for its zone.
	speaking bool
	// urgent is the clock of the newest change of a row of the own zone that
	// all zones are to be told at once, urgentSent the one they were told.
	urgent, urgentSent uint64
	// cursor rotates over zones, and over instances of unknown zones.
	cursor int
	// sequence and told are of the own row.
	sequence uint64
	told     DigestRow
	// longest is the longest dispatch timeout by service that any preset seen
	// since the start had.
	longest map[string]time.Duration
}

// newSpread sets the intervals so that a speaker, which passes each row on to
// all members of its zone, keeps to its budgets.
func newSpread(ix *index) spread {
	zone, region := ix.largestZone(), ix.largestRegion()
	refresh := max(minRefresh, atRate(len(ix.instances)*zone, refreshBytesPerSecond))
	return spread{
		refresh: refresh,
		load:    atRate(region*zone, loadBytesPerSecond),
		timeout: refreshesToTimeout * refresh,
		sentTo:  map[int]uint64{},
	}
}

// atRate returns the time in which so many rows are sent.
func atRate(rows, bytesPerSecond int) time.Duration {
	return time.Duration(rows*rowBytes) * time.Second / time.Duration(bytesPerSecond)
}

// touch marks a row as changed, so that it is part of the next digests.
func (s *spread) touch(m *member) {
	s.touchLoad(m)
	s.changes++
	m.changedAt = s.clock
}

// touchLoad marks a row of which only the load or the version of the
// configuration changed: it is told to the own region alone.
func (s *spread) touchLoad(m *member) {
	s.clock++
	m.loadedAt = s.clock
}

// touchUrgent marks a row of the own zone of which all zones are to be told.
func (s *spread) touchUrgent(m *member) {
	s.touch(m)
	s.urgent = s.clock
}

// hurry makes the next digest due at once.
func (s *spread) hurry() { s.nextDigest = time.Time{} }

func (c *Core) rowKnown(i int) bool {
	return i == c.self || c.members[i].incarnation > 0
}

// row encodes what is known of an instance.
func (c *Core) row(i int) DigestRow {
	if i == c.self {
		return c.spread.told
	}
	m := &c.members[i]
	failed := m.rowFailed
	if c.ix.instances[i].zone == c.zone {
		failed = m.failed
	}
	return DigestRow{
		Instance:      c.ix.instances[i].Name,
		Incarnation:   m.incarnation,
		Sequence:      m.sequence,
		State:         m.state,
		ConfigVersion: m.configVersion,
		Holds:         m.holds,
		Pools:         m.pools,
		Failed:        failed,
	}
}

// updateOwnRow raises the sequence of the own row when it changed or when a
// refresh is due.
func (c *Core) updateOwnRow() {
	row := DigestRow{
		Instance:      c.identity.Instance,
		Incarnation:   c.identity.Incarnation,
		State:         c.state,
		ConfigVersion: c.config.Version,
		Holds:         c.holds(),
		Pools:         c.ownPools(),
	}
	refresh := !c.now.Before(c.spread.nextRefresh)
	urgent := row.State != c.spread.told.State || !slices.Equal(row.Holds, c.spread.told.Holds)
	duties := urgent || !samePools(row.Pools, c.spread.told.Pools)
	load := !c.now.Before(c.spread.nextLoad) && !sameRow(row, c.spread.told)
	if !refresh && !duties && !load {
		return
	}
	if refresh {
		c.spread.nextRefresh = c.now.Add(c.spread.refresh)
	}
	c.spread.nextLoad = c.now.Add(c.spread.load)
	c.spread.sequence++
	row.Sequence = c.spread.sequence
	c.spread.told = row
	self := &c.members[c.self]
	switch {
	case urgent:
		c.spread.touchUrgent(self)
	case refresh || duties:
		c.spread.touch(self)
	default:
		c.spread.touchLoad(self)
	}
}

func sameRow(a, b DigestRow) bool {
	return a.State == b.State && a.ConfigVersion == b.ConfigVersion &&
		slices.Equal(a.Holds, b.Holds) && slices.Equal(a.Pools, b.Pools)
}

// samePools reports whether both lists name the same pools.
func samePools(a, b []PoolStatus) bool {
	return slices.EqualFunc(a, b, func(x, y PoolStatus) bool { return x.Pool == y.Pool })
}

// ownPools returns the load of the pools this instance dispatches to.
func (c *Core) ownPools() []PoolStatus {
	var pools []PoolStatus
	for p := range c.pools {
		if !c.pools[p].owned {
			continue
		}
		status, known := c.load[p]
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
