package control

// noteVersions takes the configuration versions of other zones from a digest.
func (c *Core) noteVersions(from int, d *Digest) {
	if z := c.ix.instances[from].zone; z != c.zone {
		c.noteVersion(z, d.Lowest)
		return
	}
	for _, v := range d.Versions {
		if v.Zone >= 0 && v.Zone < len(c.outside) {
			c.noteVersion(v.Zone, v.Version)
		}
	}
}

func (c *Core) noteVersion(zone int, version int64) {
	if version <= c.outside[zone].version {
		return
	}
	c.outside[zone].version = version
	c.outside[zone].versionNews = true
}

// takeVersions returns the versions of other zones that the members of the own
// zone have not been told.
func (c *Core) takeVersions() []ZoneVersion {
	if !c.relayTurn() {
		return nil
	}
	var versions []ZoneVersion
	for z := range c.outside {
		if c.outside[z].versionNews {
			c.outside[z].versionNews = false
			versions = append(versions, ZoneVersion{Zone: z, Version: c.outside[z].version})
		}
	}
	return versions
}

// versionsFor returns the versions of other zones for a member of the own zone.
func (c *Core) versionsFor(to int) []ZoneVersion {
	if c.ix.instances[to].zone != c.zone {
		return nil
	}
	return c.spread.versions
}

// lowestVersion returns the lowest version of the live instances of the zone.
func (c *Core) lowestVersion() int64 {
	lowest := c.config.Version
	for _, i := range c.liveMates() {
		lowest = min(lowest, c.members[i].configVersion)
	}
	return lowest
}

// versionOf returns the newest configuration version that another instance is
// known to have.
func (c *Core) versionOf(i int) int64 {
	return max(c.members[i].configVersion, c.outside[c.ix.instances[i].zone].version)
}
