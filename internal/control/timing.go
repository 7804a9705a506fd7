package control

import (
	"time"

	"sycamoreledge.example/internal/settings"
)

// zoneAsSet is the number of instances of a zone up to which heartbeats are
// sent at the interval of the settings.
const zoneAsSet = 10

// scaledTiming lengthens the heartbeat and the lease with the largest declared
// zone, since heartbeats flow between all instances of a zone. It depends on
// the topology alone, so that all instances of a firm agree.
func scaledTiming(t settings.ControlSettings, ix *index) settings.ControlSettings {
	factor := time.Duration(max(1, (ix.largestZone()+zoneAsSet-1)/zoneAsSet))
	t.Heartbeat *= factor
	t.Lease *= factor
	return t
}
