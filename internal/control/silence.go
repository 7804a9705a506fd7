package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/settings"
)

// remoteZone is the state of the gossip with another zone.
type remoteZone struct {
	// heardAt is when a digest of the zone last arrived at this instance or, by
	// a report to this speaker, at a member of the local zone.
	heardAt time.Time
	// silent is set by a speaker while the zone has been silent for
	// zoneSilenceTimeout.
	silent bool
	// targetCursor rotates over the instances of the zone that get digests.
	targetCursor int
	// reportedSilentUntil is until when the zone counts as silent because of a
	// report by a speaker of the local zone.
	reportedSilentUntil time.Time
	// resendNeeded is set after a silence, until the zone has been asked to
	// resend its rows.
	resendNeeded bool
	// lowestVersion is the lowest configuration version of the zone.
	// versionUnreported is set until the version has been sent to the members of
	// the local zone.
	lowestVersion     int64
	versionUnreported bool
	// heardUnreported is set until the speakers of the local zone have been told
	// that a digest of the zone arrived.
	heardUnreported bool
}

const (
	// silenceTimeoutRounds is the number of rounds over all zones after which the
	// instances of a zone that stays silent no longer count as live.
	silenceTimeoutRounds = 6
	// relayRounds is the number of digest rounds between two reports about other
	// zones to the members of the zone.
	relayRounds = 4
)

// detectsByZone reports whether silence is detected for whole zones instead of
// single rows. It is in fleets so large that the send budget makes the refresh
// interval longer than minRefreshInterval.
func (g *gossip) detectsByZone() bool { return g.refreshInterval > minRefreshInterval }

// zoneSilenceTimeout returns how long a speaker may receive nothing from another
// zone before it counts the zone as silent, given the digest interval.
func (ix *index) zoneSilenceTimeout(interval time.Duration) time.Duration {
	if ix.fullMesh() {
		return missedRefreshLimit * minRefreshInterval
	}
	intervals := (len(ix.zones) + zoneFanout - 1) / zoneFanout
	return time.Duration(silenceTimeoutRounds*intervals) * interval
}

// RemoteInstanceTimeout returns how long an instance of another zone counts as live after
// the last row about it arrived or, if silence is detected for whole zones, after
// the last digest of its zone.
func RemoteInstanceTimeout(topology *settings.Topology, timing settings.ControlSettings) time.Duration {
	ix := newIndex(topology)
	g := newGossip(ix)
	if g.detectsByZone() {
		return ix.zoneSilenceTimeout(timing.Digest) + reportedSilenceTTL(timing.Digest)
	}
	return g.rowTimeout
}

// reportedSilenceTTL returns how long the members of a zone count another zone as
// silent after a report by a speaker: for three reports at the digest interval.
func reportedSilenceTTL(interval time.Duration) time.Duration { return 3 * relayRounds * interval }

// relaysZoneReports reports whether this speaker sends reports about other zones
// to the members of its zone in this digest interval.
func (c *Core) relaysZoneReports() bool { return c.gossip.isSpeaker && c.gossip.round%relayRounds == 0 }

// recordZoneReports records what a digest implies and reports about zones.
func (c *Core) recordZoneReports(from int, d *Digest) {
	z := c.ix.instances[from].zone
	if z != c.zone {
		c.recordZoneHeard(z)
		if d.ResendRows {
			c.gossip.sentClock[from] = 0
		}
		return
	}
	c.recordReportedSilence(d.UnreachableZones)
	for _, z := range d.ReachableZones {
		if z >= 0 && z < len(c.remoteZones) {
			c.recordZoneHeard(z)
		}
	}
}

// recordZoneHeard records that a digest of another zone has arrived.
func (c *Core) recordZoneHeard(z int) {
	remote := &c.remoteZones[z]
	remote.heardAt = c.now
	remote.heardUnreported = true
	if remote.silent {
		remote.silent = false
		remote.resendNeeded = true
	}
}

// takeUnreportedHeard returns the zones of which a digest has arrived since the
// last report to the speakers, and marks them as reported.
func (c *Core) takeUnreportedHeard() []int {
	var zones []int
	for z := range c.remoteZones {
		if c.remoteZones[z].heardUnreported {
			c.remoteZones[z].heardUnreported = false
			zones = append(zones, z)
		}
	}
	return zones
}

// reachableZonesFor returns the value of Digest.ReachableZones for a target: a member
// that is not a speaker reports to the speakers of its zone.
func (c *Core) reachableZonesFor(to int) []int {
	if c.gossip.isSpeaker || c.ix.instances[to].zone != c.zone {
		return nil
	}
	return c.gossip.heardZones
}

func (c *Core) recordReportedSilence(zones []int) {
	for _, z := range zones {
		if z >= 0 && z < len(c.remoteZones) {
			c.remoteZones[z].reportedSilentUntil = c.now.Add(reportedSilenceTTL(c.timing.Digest))
		}
	}
}

// detectSilentZones marks zones as silent from which nothing has arrived for
// zoneSilenceTimeout.
func (c *Core) detectSilentZones() {
	if !c.gossip.detectsByZone() {
		return
	}
	for z := range c.remoteZones {
		if z != c.zone && c.now.Sub(c.remoteZones[z].heardAt) > c.ix.zoneSilenceTimeout(c.timing.Digest) {
			c.remoteZones[z].silent = true
		}
	}
}

// zoneSilent reports whether another zone counts as silent.
func (c *Core) zoneSilent(z int) bool {
	return c.remoteZones[z].silent || c.now.Before(c.remoteZones[z].reportedSilentUntil)
}

// unreachableZonesFor returns the value of Digest.UnreachableZones for a target: a speaker
// reports to the members of its zone, which get no digests of other zones.
func (c *Core) unreachableZonesFor(to int) []int {
	if !c.gossip.isSpeaker || c.ix.instances[to].zone != c.zone || !c.relaysZoneReports() {
		return nil
	}
	var zones []int
	for z := range c.remoteZones {
		if c.remoteZones[z].silent {
			zones = append(zones, z)
		}
	}
	return zones
}

// needsKeepalive reports whether the target gets a digest even without rows, so
// that its zone does not count this one as silent.
func (c *Core) needsKeepalive(to int) bool {
	return c.gossip.detectsByZone() && c.ix.instances[to].zone != c.zone
}

// takeResendRequest reports whether the zone of the target is to be asked to
// resend all its rows, which is once after each silence.
func (c *Core) takeResendRequest(to int) bool {
	z := c.ix.instances[to].zone
	if z == c.zone || !c.remoteZones[z].resendNeeded {
		return false
	}
	c.remoteZones[z].resendNeeded = false
	return true
}

// newRemoteZones returns the table of all zones, with silence counted from start.
func newRemoteZones(ix *index, start time.Time) []remoteZone {
	return slices.Repeat([]remoteZone{{heardAt: start}}, len(ix.zones))
}
