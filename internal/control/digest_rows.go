package control

import (
	"cmp"
	"slices"
	"time"
)

func (c *Core) onDigest(from int, d *Digest) {
	c.recordZoneReports(from, d)
	c.recordZoneVersions(from, d)
	for i := range d.Rows {
		c.applyRow(from, &d.Rows[i])
	}
	c.reconcileConfig(from, d.ConfigVersion)
}

// applyRow stores a received row if it is newer than the stored one.
func (c *Core) applyRow(from int, row *DigestRow) {
	i, declared := c.ix.byName[row.Instance]
	switch {
	case !declared:
		return
	case i == c.self:
		c.applyRowAboutSelf(row)
		return
	}
	m := &c.members[i]
	if !isNewer(m, row) {
		return
	}
	urgent := row.Incarnation > m.incarnation || row.Failed != m.reportedFailed ||
		row.State != m.state || !slices.Equal(row.InheritedRuns, m.inheritedRuns)
	poolsChanged := urgent || !samePools(row.Pools, m.poolLoads)
	if row.Incarnation > m.incarnation {
		c.resetForNewProcess(i, row.Incarnation)
	}
	m.sequence = row.Sequence
	m.poolLoads = row.Pools
	m.configVersion = row.ConfigVersion
	m.inheritedRuns = row.InheritedRuns
	m.reportedFailed = row.Failed
	m.rowUpdatedAt = c.now
	m.rowSource = from
	if !m.heartbeatPeer || row.State == Left {
		c.applyReportedState(i, row.State)
	}
	c.markReceivedRow(i, urgent, poolsChanged)
}

// markReceivedRow marks a received row for the next digests. A row of which only
// the load changed is sent to the whole fleet when a refresh of it is due, and
// within its region otherwise.
func (c *Core) markReceivedRow(i int, urgent, poolsChanged bool) {
	m := &c.members[i]
	otherRegion := !c.inLocalRegion(c.ix.instances[i].zone)
	refreshDue := otherRegion || c.now.Sub(m.fleetMarkedAt) >= c.gossip.refreshInterval-c.gossip.minLoadInterval
	if !urgent && !poolsChanged && !refreshDue {
		c.gossip.markLoadChanged(m)
		return
	}
	m.fleetMarkedAt = c.now
	if urgent && c.ix.instances[i].zone == c.zone {
		c.gossip.markUrgent(m)
		return
	}
	c.gossip.markChanged(m)
}

func (c *Core) applyReportedState(i int, state InstanceState) {
	m := &c.members[i]
	if m.state == state {
		return
	}
	m.state = state
	c.emit(Event{Kind: EventMemberState, Instance: c.ix.instances[i].Name, State: state})
}

// isNewer reports whether a received row is newer than the stored one. Of two
// rows with the same sequence the one that reports a failure is newer.
func isNewer(m *member, row *DigestRow) bool {
	order := cmp.Or(
		cmp.Compare(row.Incarnation, m.incarnation),
		cmp.Compare(row.Sequence, m.sequence))
	if order != 0 {
		return order > 0
	}
	return row.Failed && !m.reportedFailed
}

// applyRowAboutSelf handles a row of another instance about this one. A row of a
// newer process under the same name ends this one; a row that reports this
// process as failed is refuted by a refresh of the local row.
func (c *Core) applyRowAboutSelf(row *DigestRow) {
	switch {
	case row.Incarnation > c.identity.Incarnation:
		if c.state != Left {
			c.emit(Event{Kind: EventSuperseded, Instance: c.identity.Instance})
			c.Finish()
		}
	case row.Incarnation == c.identity.Incarnation && row.Failed:
		c.gossip.nextRefresh = time.Time{}
		c.gossip.makeDigestDue()
	}
}
