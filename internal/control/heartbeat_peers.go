package control

import "slices"

// adopterRanks is how many instances of the adopting zone get heartbeats from
// each instance of a zone: the one that adopts and the next in rank.
const adopterRanks = 2

// updateContacts decides with which instances heartbeats are exchanged: all of
// the own zone, those of the adopting zone that may adopt, and, where this
// instance may adopt a zone, all of that zone.
func (c *Core) updateContacts() {
	wanted := make([]bool, len(c.members))
	for _, i := range c.ix.zones[c.zone].instances {
		wanted[i] = i != c.self
	}
	if c.ix.zones[c.zone].adopter >= 0 {
		for _, i := range c.adoptersOf(c.zone) {
			wanted[i] = true
		}
	}
	for n := range c.wards {
		ward := c.wards[n].zone
		if !slices.Contains(c.adoptersOf(ward), c.self) {
			continue
		}
		for _, i := range c.ix.zones[ward].instances {
			wanted[i] = true
		}
	}
	for i := range c.members {
		c.setContact(i, wanted[i])
	}
}

// setContact starts to count the silence of a new contact from now on.
func (c *Core) setContact(i int, contact bool) {
	m := &c.members[i]
	if contact && !m.contact {
		m.heardAt = c.now
		m.failed = false
	}
	m.contact = contact
}

// adoptersOf returns the instances of the adopting zone that get heartbeats
// from a zone, best first.
func (c *Core) adoptersOf(zone int) []int {
	candidates := c.liveOrDeclared(c.ix.zones[zone].adopter)
	ranked := c.ix.rank(adopterKey(c.ix.zones[zone].name), candidates)
	return ranked[:min(adopterRanks, len(ranked))]
}

// liveOrDeclared returns the instances of a zone that their own zone does not
// know to have failed, or all of them when none is left. What this instance
// hears directly does not count for other zones: only their own members
// decide which of them adopts.
func (c *Core) liveOrDeclared(zone int) []int {
	declared := c.ix.zones[zone].instances
	var live []int
	for _, i := range declared {
		if c.expected(zone, i) {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return declared
	}
	return live
}

// expected reports whether an instance of the zone may be one of those that
// adopt.
func (c *Core) expected(zone, i int) bool {
	m := &c.members[i]
	switch {
	case i == c.self:
		return c.state != Leaving && c.state != Left
	case zone == c.zone:
		return !m.failed && m.state != Leaving && m.state != Left
	default:
		return c.rowAlive(i) && m.state != Leaving
	}
}

// wantsHeartbeat reports whether the instance gets heartbeats: contacts do,
// but those of a zone that this one may adopt only in answer to their own.
func (c *Core) wantsHeartbeat(i int) bool {
	m := &c.members[i]
	if !m.contact {
		return false
	}
	z := c.ix.instances[i].zone
	if z == c.zone || m.heard && !m.failed {
		return true
	}
	return z == c.ix.zones[c.zone].adopter && slices.Contains(c.adoptersOf(c.zone), i)
}
