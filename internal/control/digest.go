package control

import "slices"

// speakers returns the instances of a zone that speak for it, best first. Of a
// silent zone they are those that spoke for it last.
func (c *Core) speakers(zone int) []int {
	var live []int
	for _, i := range c.ix.zones[zone].instances {
		if c.alive(i) || zone != c.zone && c.rowFresh(i) {
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
	speaks := slices.Contains(speakers, c.self)
	if speaks && !c.spread.speaking {
		c.startSpeaking()
	}
	c.spread.speaking = speaks
	if !speaks {
		c.reportToSpeakers(speakers)
		return
	}
	c.noteSilentZones()
	c.spread.versions = c.takeVersions()
	c.tellMates(speakers)
	c.tellZones()
	c.spread.cursor++
}

// startSpeaking takes it that the members of the zone know what this instance
// knows, since another speaker has told them, but for those that have just
// joined.
func (c *Core) startSpeaking() {
	for _, i := range c.liveMates() {
		if c.now.Sub(c.members[i].joinedAt) > 2*c.timing.Lease {
			c.spread.sentTo[i] = max(1, c.spread.clock)
		}
	}
	for z := range c.outside {
		c.outside[z].heardAt = c.now
	}
}

// reportToSpeakers sends the own row, and what came from other zones.
func (c *Core) reportToSpeakers(speakers []int) {
	c.spread.heard = c.takeHeard()
	c.spread.versions = nil
	for _, i := range speakers {
		c.sendRows(i, func(row int) bool { return row == c.self || c.learnedOutside(row) })
	}
}

// tellMates passes rows on to the members of the zone, but for those that
// another speaker has told them.
func (c *Core) tellMates(speakers []int) {
	for _, i := range c.ix.zones[c.zone].instances {
		if i == c.self {
			continue
		}
		all := c.spread.sentTo[i] == 0
		c.sendRows(i, func(row int) bool {
			told := row != c.self && slices.Contains(speakers, c.members[row].learnedFrom)
			return row != i && (all || !told || c.members[row].learnedFrom == row)
		})
	}
}

// tellZones sends the rows of the own zone to speakers of other zones.
func (c *Core) tellZones() {
	for _, z := range c.digestZones() {
		if i := c.digestTarget(z); i >= 0 {
			c.sendRows(i, func(row int) bool { return c.ix.instances[row].zone == c.zone })
		}
	}
	c.spread.urgentSent = c.spread.urgent
}

// learnedOutside reports whether the row came from another zone.
func (c *Core) learnedOutside(row int) bool {
	m := &c.members[row]
	return m.incarnation > 0 && c.ix.instances[m.learnedFrom].zone != c.zone
}

// digestZones returns the other zones that are sent to in this interval.
func (c *Core) digestZones() []int {
	var near, far []int
	for z := range c.ix.zones {
		switch {
		case z == c.zone || len(c.ix.zones[z].instances) == 0:
		case c.nearZone(z):
			near = append(near, z)
		default:
			far = append(far, z)
		}
	}
	if c.ix.fullMesh() || c.spread.urgent > c.spread.urgentSent {
		return append(near, far...)
	}
	for n := range min(zoneFanout, len(far)) {
		near = append(near, far[(c.spread.cursor*zoneFanout+n)%len(far)])
	}
	return near
}

// fullMesh reports whether speakers send to all zones in each interval.
func (ix *index) fullMesh() bool { return len(ix.zones) <= fullMeshZones }

// nearZone reports whether a zone is in the own region.
func (c *Core) nearZone(z int) bool { return c.ix.zones[z].region == c.ix.zones[c.zone].region }

// digestTarget picks a speaker of another zone; where none is known to live,
// its declared instances in turn.
func (c *Core) digestTarget(zone int) int {
	targets := c.speakers(zone)
	if len(targets) == 0 {
		targets = c.ix.zones[zone].instances
	}
	c.outside[zone].turn++
	return targets[c.outside[zone].turn%len(targets)]
}

// sendRows sends the rows that changed since the last digest to the target.
// Where rows are refreshed seldom, another zone gets a digest even without
// rows, as a sign of life.
func (c *Core) sendRows(to int, include func(row int) bool) {
	since := c.spread.sentTo[to]
	c.spread.sentTo[to] = max(1, c.spread.clock)
	var rows []DigestRow
	for i := range c.members {
		if c.changeFor(to, i) > since && include(i) && c.rowKnown(i) {
			rows = append(rows, c.row(i))
		}
	}
	d := Digest{
		Silent:        c.silentFor(to),
		ConfigVersion: c.config.Version,
		Resend:        c.wantsResend(to),
		Heard:         c.heardFor(to),
		Versions:      c.versionsFor(to),
	}
	if c.signOfLife(to) {
		d.Lowest = c.lowestVersion()
	}
	if len(rows) == 0 && (d.hasNews() || c.signOfLife(to)) {
		c.send(to, Message{Digest: &d})
	}
	for chunk := range slices.Chunk(rows, rowsPerMessage) {
		part := d
		part.Rows = slices.Clone(chunk)
		c.send(to, Message{Digest: &part})
	}
}

// hasNews reports whether a digest without rows tells anything of zones.
func (d *Digest) hasNews() bool {
	return len(d.Silent) > 0 || len(d.Heard) > 0 || len(d.Versions) > 0
}

// changeFor returns the clock of the newest change of a row that the target is
// to be told.
func (c *Core) changeFor(to, row int) uint64 {
	m := &c.members[row]
	if c.ix.fullMesh() || c.regionOf(to) == c.regionOf(row) {
		return m.loadedAt
	}
	return m.changedAt
}

func (c *Core) regionOf(i int) string { return c.ix.zones[c.ix.instances[i].zone].region }
