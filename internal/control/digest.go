package control

import "slices"

// speakers returns the speakers of a zone, in order of rank. For a silent zone,
// they are those that it had before the silence.
func (c *Core) speakers(zone int) []int {
	var live []int
	for _, i := range c.ix.zones[zone].instances {
		if c.alive(i) || zone != c.zone && c.rowIsFresh(i) {
			live = append(live, i)
		}
	}
	ranked := c.ix.rank("speaker/"+c.ix.zones[zone].name, live)
	return ranked[:min(speakersPerZone, len(ranked))]
}

func (c *Core) sendDigests() {
	if c.now.Before(c.gossip.nextDigest) {
		return
	}
	c.sendDigestsNow()
}

func (c *Core) sendDigestsNow() {
	c.gossip.nextDigest = c.now.Add(c.timing.Digest)
	c.updateLocalRow()
	speakers := c.speakers(c.zone)
	isSpeaker := slices.Contains(speakers, c.self)
	if isSpeaker && !c.gossip.isSpeaker {
		c.becomeSpeaker()
	}
	c.gossip.isSpeaker = isSpeaker
	if !isSpeaker {
		c.sendToSpeakers(speakers)
		return
	}
	c.detectSilentZones()
	c.gossip.zoneVersions = c.takeUnreportedVersions()
	c.sendToZonePeers(speakers)
	c.sendToOtherZones()
	c.gossip.round++
}

// becomeSpeaker marks all rows as sent to the members of the zone, since another
// speaker has sent them, except to members that have just joined. The silence
// of other zones counts from now.
func (c *Core) becomeSpeaker() {
	for _, i := range c.liveZonePeers() {
		if c.now.Sub(c.members[i].firstSeenAt) > 2*c.timing.Lease {
			c.gossip.sentClock[i] = max(1, c.gossip.rowClock)
		}
	}
	for z := range c.remoteZones {
		c.remoteZones[z].heardAt = c.now
	}
}

// sendToSpeakers sends the speakers of the local zone the local row, and rows
// and reports that arrived from other zones.
func (c *Core) sendToSpeakers(speakers []int) {
	c.gossip.heardZones = c.takeUnreportedHeard()
	c.gossip.zoneVersions = nil
	for _, i := range speakers {
		c.sendRows(i, func(row int) bool { return row == c.self || c.receivedFromOtherZone(row) })
	}
}

// sendToZonePeers relays rows to the members of the zone. Rows that another
// speaker relayed to this instance are left out, since that speaker sends them to
// all members, unless this is the first digest to the member.
func (c *Core) sendToZonePeers(speakers []int) {
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self {
			continue
		}
		firstDigest := c.gossip.sentClock[i] == 0
		c.sendRows(i, func(row int) bool {
			alreadySent := row != c.self && slices.Contains(speakers, c.members[row].rowSource)
			return row != i && (firstDigest || !alreadySent || c.members[row].rowSource == row)
		})
	}
}

// sendToOtherZones sends the rows of the local zone to one speaker of each of
// the zones that get a digest in this interval.
func (c *Core) sendToOtherZones() {
	for _, z := range c.digestZones() {
		if i := c.digestTarget(z); i >= 0 {
			c.sendRows(i, func(row int) bool { return c.ix.instances[row].zone == c.zone })
		}
	}
	c.gossip.urgentSentClock = c.gossip.urgentClock
}

// receivedFromOtherZone reports whether the row arrived from another zone.
func (c *Core) receivedFromOtherZone(row int) bool {
	m := &c.members[row]
	return m.incarnation > 0 && c.ix.instances[m.rowSource].zone != c.zone
}

// digestZones returns the other zones that get a digest in this interval.
func (c *Core) digestZones() []int {
	var sameRegion, otherRegions []int
	for z := range c.ix.zones {
		switch {
		case z == c.zone || len(c.ix.zones[z].instances) == 0:
		case c.inLocalRegion(z):
			sameRegion = append(sameRegion, z)
		default:
			otherRegions = append(otherRegions, z)
		}
	}
	if c.ix.fullMesh() || c.gossip.urgentClock > c.gossip.urgentSentClock {
		return append(sameRegion, otherRegions...)
	}
	for n := range min(zoneFanout, len(otherRegions)) {
		sameRegion = append(sameRegion, otherRegions[(c.gossip.round*zoneFanout+n)%len(otherRegions)])
	}
	return sameRegion
}

// fullMesh reports whether speakers send digests to all zones in each interval.
func (ix *index) fullMesh() bool { return len(ix.zones) <= fullMeshZones }

func (c *Core) inLocalRegion(z int) bool { return c.ix.zones[z].region == c.ix.zones[c.zone].region }

// digestTarget returns the instance of another zone that gets the next digest:
// its speakers in rotation or, if none is live, its declared instances in
// rotation.
func (c *Core) digestTarget(zone int) int {
	targets := c.speakers(zone)
	if len(targets) == 0 {
		targets = c.ix.zones[zone].instances
	}
	c.remoteZones[zone].targetCursor++
	return targets[c.remoteZones[zone].targetCursor%len(targets)]
}

// sendRows sends those of the included rows that changed after the last digest to
// the target. A digest without rows is sent if it has reports about zones or
// serves as a keepalive.
func (c *Core) sendRows(to int, include func(row int) bool) {
	since := c.gossip.sentClock[to]
	c.gossip.sentClock[to] = max(1, c.gossip.rowClock)
	var rows []DigestRow
	for i := range c.members {
		if c.changeClockFor(to, i) > since && include(i) && c.hasRow(i) {
			rows = append(rows, c.rowFor(i))
		}
	}
	d := Digest{
		UnreachableZones: c.unreachableZonesFor(to),
		ConfigVersion:    c.config.Version,
		ResendRows:       c.takeResendRequest(to),
		ReachableZones:   c.reachableZonesFor(to),
		ZoneVersions:     c.zoneVersionsFor(to),
	}
	if c.needsKeepalive(to) {
		d.LowestVersion = c.lowestLocalVersion()
	}
	if len(rows) == 0 && (d.hasZoneReports() || c.needsKeepalive(to)) {
		c.send(to, Message{Digest: &d})
	}
	for chunk := range slices.Chunk(rows, rowsPerMessage) {
		part := d
		part.Rows = slices.Clone(chunk)
		c.send(to, Message{Digest: &part})
	}
}

// hasZoneReports reports whether a digest carries reports about zones.
func (d *Digest) hasZoneReports() bool {
	return len(d.UnreachableZones) > 0 || len(d.ReachableZones) > 0 || len(d.ZoneVersions) > 0
}

// changeClockFor returns the rowClock of the newest change of a row that is to be
// sent to the target. Changes of load go only to targets in the row's region,
// unless there is a full mesh of zones.
func (c *Core) changeClockFor(to, row int) uint64 {
	m := &c.members[row]
	if c.ix.fullMesh() || c.regionOf(to) == c.regionOf(row) {
		return m.loadClock
	}
	return m.changeClock
}

func (c *Core) regionOf(i int) string { return c.ix.zones[c.ix.instances[i].zone].region }
