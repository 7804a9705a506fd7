package control

import (
	"slices"
	"time"

	"sycamoreledge.example/internal/settings"
)

// outsideZone is what is known of the connection to another zone.
type outsideZone struct {
	// heardAt is when a digest of one of its instances last arrived here.
	heardAt time.Time
	// silent is set by a speaker that has not heard the zone for long.
	silent bool
	// turn rotates over the instances that are sent to.
	turn int
	// silentUntil is how long the zone counts as silent because a speaker of
	// the own zone said so.
	silentUntil time.Time
	// resend is set until the zone has been asked for its rows.
	resend bool
	// version is the lowest configuration version of the zone, versionNews is
	// set until the members of the own zone have been told of it.
	version     int64
	versionNews bool
	// news is set until the speakers have been told that the zone was heard.
	news bool
}

const (
	// roundsToSilence is how many rounds over all zones another zone may be
	// silent before its instances no longer count as alive.
	roundsToSilence = 6
	// relayEvery is the number of digest intervals after which the members of
	// the zone are told again what is heard of other zones.
	relayEvery = 4
)

// slowRows reports whether rows are refreshed so seldom that zones, and not
// rows, are watched for silence.
func (s *spread) slowRows() bool { return s.refresh > minRefresh }

// silence is the time after which a speaker counts another zone as silent.
func (ix *index) silence(digest time.Duration) time.Duration {
	if ix.fullMesh() {
		return refreshesToTimeout * minRefresh
	}
	intervals := (len(ix.zones) + zoneFanout - 1) / zoneFanout
	return time.Duration(roundsToSilence*intervals) * digest
}

// RemoteTimeout is how long an instance of another zone counts as alive after
// the last word of it, or of its zone, in a fleet.
func RemoteTimeout(top *settings.Topology, timing settings.ControlSettings) time.Duration {
	ix := newIndex(top)
	s := newSpread(ix)
	if s.slowRows() {
		return ix.silence(timing.Digest) + mateSilence(timing.Digest)
	}
	return s.timeout
}

// mateSilence is how long the members of a zone hold another zone for silent
// after a speaker said so.
func mateSilence(digest time.Duration) time.Duration { return 3 * relayEvery * digest }

// relayTurn reports whether the members of the zone are told of other zones in
// this interval.
func (c *Core) relayTurn() bool { return c.spread.speaking && c.spread.cursor%relayEvery == 0 }

// noteZone takes what a digest says of zones.
func (c *Core) noteZone(from int, d *Digest) {
	z := c.ix.instances[from].zone
	if z != c.zone {
		c.hearZone(z)
		if d.Resend {
			c.spread.sentTo[from] = 0
		}
		return
	}
	c.noteMateSilence(d.Silent)
	for _, z := range d.Heard {
		if z >= 0 && z < len(c.outside) {
			c.hearZone(z)
		}
	}
}

// hearZone notes a sign of life of another zone.
func (c *Core) hearZone(z int) {
	outside := &c.outside[z]
	outside.heardAt = c.now
	outside.news = true
	if outside.silent {
		outside.silent = false
		outside.resend = true
	}
}

// takeHeard returns the zones heard since the last report to the speakers.
func (c *Core) takeHeard() []int {
	var zones []int
	for z := range c.outside {
		if c.outside[z].news {
			c.outside[z].news = false
			zones = append(zones, z)
		}
	}
	return zones
}

// heardFor returns the zones that a speaker of the own zone is told of.
func (c *Core) heardFor(to int) []int {
	if c.spread.speaking || c.ix.instances[to].zone != c.zone {
		return nil
	}
	return c.spread.heard
}

func (c *Core) noteMateSilence(zones []int) {
	for _, z := range zones {
		if z >= 0 && z < len(c.outside) {
			c.outside[z].silentUntil = c.now.Add(mateSilence(c.timing.Digest))
		}
	}
}

// noteSilentZones marks the zones that have not been heard for long.
func (c *Core) noteSilentZones() {
	if !c.spread.slowRows() {
		return
	}
	for z := range c.outside {
		if z != c.zone && c.now.Sub(c.outside[z].heardAt) > c.ix.silence(c.timing.Digest) {
			c.outside[z].silent = true
		}
	}
}

// zoneSilent reports whether another zone counts as silent.
func (c *Core) zoneSilent(z int) bool {
	return c.outside[z].silent || c.now.Before(c.outside[z].silentUntil)
}

// silentFor returns the silent zones that a target is told: members of the own
// zone, which do not hear other zones themselves.
func (c *Core) silentFor(to int) []int {
	if !c.spread.speaking || c.ix.instances[to].zone != c.zone || !c.relayTurn() {
		return nil
	}
	var zones []int
	for z := range c.outside {
		if c.outside[z].silent {
			zones = append(zones, z)
		}
	}
	return zones
}

// signOfLife reports whether a digest without rows is sent to the target.
func (c *Core) signOfLife(to int) bool {
	return c.spread.slowRows() && c.ix.instances[to].zone != c.zone
}

// wantsResend reports, once after each silence, that the zone of the target is
// to send all its rows.
func (c *Core) wantsResend(to int) bool {
	z := c.ix.instances[to].zone
	if z == c.zone || !c.outside[z].resend {
		return false
	}
	c.outside[z].resend = false
	return true
}

// newOutside returns the table of zones, all of them heard at the start.
func newOutside(ix *index, start time.Time) []outsideZone {
	return slices.Repeat([]outsideZone{{heardAt: start}}, len(ix.zones))
}
