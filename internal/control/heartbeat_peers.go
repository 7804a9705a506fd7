package control

import "slices"

// adoptersPerZone is the number of instances of the adopting zone with which
// each instance of a zone exchanges heartbeats: the designated adopter and the
// one next in rank.
const adoptersPerZone = 2

// updateHeartbeatPeers determines the instances with which this one exchanges
// heartbeats: all others of the local zone, the likely adopters in the adopting
// zone and, for each zone of which this instance is a likely adopter, all
// instances of that zone.
func (c *Core) updateHeartbeatPeers() {
	wanted := make([]bool, len(c.members))
	for _, i := range c.ix.zones[c.zone].instances {
		wanted[i] = i != c.self
	}
	if c.ix.zones[c.zone].adopterZone >= 0 {
		for _, i := range c.likelyAdopters(c.zone) {
			wanted[i] = true
		}
	}
	for n := range c.adoptableZones {
		zone := c.adoptableZones[n].zone
		if !slices.Contains(c.likelyAdopters(zone), c.self) {
			continue
		}
		for _, i := range c.ix.zones[zone].instances {
			wanted[i] = true
		}
	}
	for i := range c.members {
		c.setHeartbeatPeer(i, wanted[i])
	}
}

// setHeartbeatPeer records whether an instance is a heartbeat peer. The silence
// of a new peer counts from now.
func (c *Core) setHeartbeatPeer(i int, isPeer bool) {
	m := &c.members[i]
	if isPeer && !m.heartbeatPeer {
		m.heardAt = c.now
		m.failed = false
	}
	m.heartbeatPeer = isPeer
}

// likelyAdopters returns the instances of the adopting zone that exchange
// heartbeats with a zone, in order of rank.
func (c *Core) likelyAdopters(zone int) []int {
	candidates := c.adopterCandidates(c.ix.zones[zone].adopterZone)
	ranked := c.ix.rank(adopterKey(c.ix.zones[zone].name), candidates)
	return ranked[:min(adoptersPerZone, len(ranked))]
}

// adopterCandidates returns the instances of a zone that their own zone does not
// consider failed, or all declared ones if there is none. For other zones, direct
// messages to this instance do not count: the members of the zone alone
// determine its adopter.
func (c *Core) adopterCandidates(zone int) []int {
	declared := c.ix.zones[zone].instances
	var live []int
	for _, i := range declared {
		if c.mayAdopt(zone, i) {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return declared
	}
	return live
}

// mayAdopt reports whether an instance of the zone is a candidate for adopting
// the pools of another zone.
func (c *Core) mayAdopt(zone, i int) bool {
	m := &c.members[i]
	switch {
	case i == c.self:
		return c.state != Leaving && c.state != Left
	case zone == c.zone:
		return !m.failed && m.state != Leaving && m.state != Left
	default:
		return c.aliveByRow(i) && m.state != Leaving
	}
}

// sendsHeartbeatTo reports whether this instance sends heartbeats to another:
// to heartbeat peers, but to those of a zone that it may adopt only in reply to
// theirs.
func (c *Core) sendsHeartbeatTo(i int) bool {
	m := &c.members[i]
	if !m.heartbeatPeer {
		return false
	}
	z := c.ix.instances[i].zone
	if z == c.zone || m.heard && !m.failed {
		return true
	}
	return z == c.ix.zones[c.zone].adopterZone && slices.Contains(c.likelyAdopters(c.zone), i)
}
