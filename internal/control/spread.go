package control

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// speakerRanks is how many instances of a zone exchange digests with other
	// zones and with all members of their own.
	speakerRanks = 2
	// fullMeshZones is the number of zones up to which speakers send to all
	// other zones directly; above it rows are passed on by fanout.
	fullMeshZones = 8
	// zoneFanout is how many other zones a speaker sends to in one interval
	// above fullMeshZones.
	zoneFanout = 4
	// rowBytes is the size of an encoded digest row with one pool, and
	// refreshBytesPerSecond what refreshing unchanged rows may cost.
	rowBytes              = 60
	refreshBytesPerSecond = 3000
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
	refresh       time.Duration
	timeout       time.Duration
	// clock counts changes of rows; sentTo holds its value at the last digest
	// to an instance.
	clock  uint64
	sentTo map[int]uint64
	// cursor rotates over zones, and over instances of unknown zones.
	cursor int
	// sequence and told are of the own row.
	sequence uint64
	told     DigestRow
	// longest is the longest dispatch timeout by service that any preset seen
	// since the start had.
	longest map[string]time.Duration
}

func newSpread(ix *index) spread {
	instances := len(ix.instances)
	return spread{
		refresh: refreshInterval(instances),
		timeout: RemoteTimeout(instances),
		sentTo:  map[int]uint64{},
	}
}

func refreshInterval(instances int) time.Duration {
	byBudget := time.Duration(instances*rowBytes) * time.Second / refreshBytesPerSecond
	return max(minRefresh, byBudget)
}

// RemoteTimeout is how long an instance of another zone counts as alive after
// the last word of it, in a fleet of the given number of instances.
func RemoteTimeout(instances int) time.Duration {
	return refreshesToTimeout * refreshInterval(instances)
}

// touch marks a row as changed, so that it is part of the next digests.
func (s *spread) touch(m *member) {
	s.clock++
	m.changedAt = s.clock
}

// hurry makes the next digest due at once.
func (s *spread) hurry() { s.nextDigest = time.Time{} }

// speakers returns the instances of a zone that speak for it, best first.
func (c *Core) speakers(zone int) []int {
	var live []int
	for _, i := range c.ix.zones[zone].instances {
		if c.alive(i) {
			live = append(live, i)
		}
	}
	ranked := c.ix.rank("speaker/"+c.ix.zones[zone].name, live)
	return ranked[:min(speakerRanks, len(ranked))]
}

func (c *Core) sendDigests() {
	if c.now.Before(c.spread.nextDigest) {
		return
	}
	c.sendDigestsNow()
}

func (c *Core) sendDigestsNow() {
	c.spread.nextDigest = c.now.Add(c.timing.Digest)
	c.updateOwnRow()
	speakers := c.speakers(c.zone)
	if !slices.Contains(speakers, c.self) {
		for _, i := range speakers {
			c.sendRows(i, func(row int) bool { return row == c.self || c.members[row].fromOutside })
		}
		return
	}
	for _, i := range c.ix.zones[c.zone].instances {
		if i != c.self {
			c.sendRows(i, func(row int) bool { return row != i })
		}
	}
	for _, z := range c.digestZones() {
		if i := c.digestTarget(z); i >= 0 {
			c.sendRows(i, func(row int) bool { return c.passOn(row, z) })
		}
	}
	c.spread.cursor++
}

// digestZones returns the other zones that are sent to in this interval.
func (c *Core) digestZones() []int {
	var others []int
	for z := range c.ix.zones {
		if z != c.zone && len(c.ix.zones[z].instances) > 0 {
			others = append(others, z)
		}
	}
	if len(c.ix.zones) <= fullMeshZones {
		return others
	}
	chosen := make([]int, 0, zoneFanout)
	for n := range min(zoneFanout, len(others)) {
		chosen = append(chosen, others[(c.spread.cursor*zoneFanout+n)%len(others)])
	}
	return chosen
}

// digestTarget picks a speaker of another zone; where none is known to live,
// its declared instances in turn.
func (c *Core) digestTarget(zone int) int {
	speakers := c.speakers(zone)
	if len(speakers) > 0 {
		return speakers[c.spread.cursor%len(speakers)]
	}
	declared := c.ix.zones[zone].instances
	return declared[c.spread.cursor%len(declared)]
}

// passOn reports whether a row belongs into a digest to another zone.
func (c *Core) passOn(row, zone int) bool {
	of := c.ix.instances[row].zone
	if len(c.ix.zones) <= fullMeshZones {
		return of == c.zone
	}
	return of != zone
}

// sendRows sends the rows that changed since the last digest to the target.
func (c *Core) sendRows(to int, include func(row int) bool) {
	since := c.spread.sentTo[to]
	c.spread.sentTo[to] = c.spread.clock
	var rows []DigestRow
	for i := range c.members {
		if c.members[i].changedAt > since && include(i) && c.rowKnown(i) {
			rows = append(rows, c.row(i))
		}
	}
	for chunk := range slices.Chunk(rows, rowsPerMessage) {
		c.send(to, Message{Digest: &Digest{Rows: slices.Clone(chunk)}})
	}
}

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
	if !refresh && sameRow(row, c.spread.told) {
		return
	}
	if refresh {
		c.spread.nextRefresh = c.now.Add(c.spread.refresh)
	}
	c.spread.sequence++
	row.Sequence = c.spread.sequence
	c.spread.told = row
	c.spread.touch(&c.members[c.self])
}

func sameRow(a, b DigestRow) bool {
	return a.State == b.State && a.ConfigVersion == b.ConfigVersion &&
		slices.Equal(a.Holds, b.Holds) && slices.Equal(a.Pools, b.Pools)
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

func (c *Core) onDigest(from int, d *Digest) {
	for i := range d.Rows {
		c.learnRow(from, &d.Rows[i])
	}
}

// learnRow takes a row that is newer than what is known.
func (c *Core) learnRow(from int, row *DigestRow) {
	i, declared := c.ix.byName[row.Instance]
	switch {
	case !declared:
		return
	case i == c.self:
		c.learnOwnRow(row)
		return
	}
	m := &c.members[i]
	if !newerRow(m, row) {
		return
	}
	if row.Incarnation > m.incarnation {
		c.replaceMember(i, row.Incarnation)
	}
	m.sequence = row.Sequence
	m.pools = row.Pools
	m.configVersion = row.ConfigVersion
	m.holds = row.Holds
	m.rowFailed = row.Failed
	m.learnedAt = c.now
	m.fromOutside = c.ix.instances[from].zone != c.zone
	if !m.contact || row.State == Left {
		c.learnState(i, row.State)
	}
	c.spread.touch(m)
	c.compareConfig(from, row.ConfigVersion)
}

func (c *Core) learnState(i int, state InstanceState) {
	m := &c.members[i]
	if m.state == state {
		return
	}
	m.state = state
	c.emit(Event{Kind: EventMemberState, Instance: c.ix.instances[i].Name, State: state})
}

func newerRow(m *member, row *DigestRow) bool {
	order := cmp.Or(
		cmp.Compare(row.Incarnation, m.incarnation),
		cmp.Compare(row.Sequence, m.sequence))
	if order != 0 {
		return order > 0
	}
	return row.Failed && !m.rowFailed
}

// learnOwnRow answers what others say of this instance.
func (c *Core) learnOwnRow(row *DigestRow) {
	switch {
	case row.Incarnation > c.identity.Incarnation:
		if c.state != Left {
			c.emit(Event{Kind: EventSuperseded, Instance: c.identity.Instance})
			c.Finish()
		}
	case row.Incarnation == c.identity.Incarnation && row.Failed:
		c.spread.nextRefresh = time.Time{}
		c.spread.hurry()
	}
}

func sortedKeys[V any](m map[int]V) []int {
	return slices.Sorted(maps.Keys(m))
}
