package control

// recordZoneVersions records the configuration versions of other zones that a
// digest reports.
func (c *Core) recordZoneVersions(from int, d *Digest) {
	if z := c.ix.instances[from].zone; z != c.zone {
		c.recordZoneVersion(z, d.LowestVersion)
		return
	}
	for _, v := range d.ZoneVersions {
		if v.Zone >= 0 && v.Zone < len(c.remoteZones) {
			c.recordZoneVersion(v.Zone, v.Version)
		}
	}
}

func (c *Core) recordZoneVersion(zone int, version int64) {
	if version <= c.remoteZones[zone].lowestVersion {
		return
	}
	c.remoteZones[zone].lowestVersion = version
	c.remoteZones[zone].versionUnreported = true
}

// takeUnreportedVersions returns the configuration versions of other zones that
// have not been sent to the members of the local zone, and marks them as sent.
// It returns nil in intervals without zone reports.
func (c *Core) takeUnreportedVersions() []ZoneVersion {
	if !c.relaysZoneReports() {
		return nil
	}
	var versions []ZoneVersion
	for z := range c.remoteZones {
		if c.remoteZones[z].versionUnreported {
			c.remoteZones[z].versionUnreported = false
			versions = append(versions, ZoneVersion{Zone: z, Version: c.remoteZones[z].lowestVersion})
		}
	}
	return versions
}

// zoneVersionsFor returns the value of Digest.ZoneVersions for a target: only
// members of the local zone get the versions of other zones.
func (c *Core) zoneVersionsFor(to int) []ZoneVersion {
	if c.ix.instances[to].zone != c.zone {
		return nil
	}
	return c.gossip.zoneVersions
}

// lowestLocalVersion returns the lowest configuration version of the live
// instances of the local zone.
func (c *Core) lowestLocalVersion() int64 {
	lowest := c.config.Version
	for _, i := range c.liveZonePeers() {
		lowest = min(lowest, c.members[i].configVersion)
	}
	return lowest
}

// knownConfigVersion returns the highest configuration version that another
// instance is known to have.
func (c *Core) knownConfigVersion(i int) int64 {
	return max(c.members[i].configVersion, c.remoteZones[c.ix.instances[i].zone].lowestVersion)
}
