package control

import (
	"cmp"
	"slices"
	"time"
)

func (c *Core) onDigest(from int, d *Digest) {
	c.noteZone(from, d)
	c.noteVersions(from, d)
	for i := range d.Rows {
		c.learnRow(from, &d.Rows[i])
	}
	c.compareConfig(from, d.ConfigVersion)
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
	urgent := row.Incarnation > m.incarnation || row.Failed != m.rowFailed ||
		row.State != m.state || !slices.Equal(row.Holds, m.holds)
	duties := urgent || !samePools(row.Pools, m.pools)
	if row.Incarnation > m.incarnation {
		c.replaceMember(i, row.Incarnation)
	}
	m.sequence = row.Sequence
	m.pools = row.Pools
	m.configVersion = row.ConfigVersion
	m.holds = row.Holds
	m.rowFailed = row.Failed
	m.learnedAt = c.now
	m.learnedFrom = from
	if !m.contact || row.State == Left {
		c.learnState(i, row.State)
	}
	c.noteChange(i, urgent, duties)
}

// noteChange marks a learned row for the next digests. A row of which only the
// load changed goes to the whole fleet when a refresh of it is due.
func (c *Core) noteChange(i int, urgent, duties bool) {
	m := &c.members[i]
	far := !c.nearZone(c.ix.instances[i].zone)
	refresh := far || c.now.Sub(m.passedAt) >= c.spread.refresh-c.spread.load
	if !urgent && !duties && !refresh {
		c.spread.touchLoad(m)
		return
	}
	m.passedAt = c.now
	if urgent && c.ix.instances[i].zone == c.zone {
		c.spread.touchUrgent(m)
		return
	}
	c.spread.touch(m)
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
