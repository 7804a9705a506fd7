package control

import (
	"time"

	"sycamoreledge.example/internal/settings"
)

// unscaledZoneSize is the number of instances in the largest zone up to which
// the heartbeat interval and the lease of the settings are used unchanged.
const unscaledZoneSize = 10

// scaledTiming multiplies the heartbeat interval and the lease by a factor that
// grows with the largest declared zone, since every instance exchanges
// heartbeats with all others of its zone. The factor depends on the topology
// alone, so that all instances of a firm use the same values.
func scaledTiming(t settings.ControlSettings, ix *index) settings.ControlSettings {
	factor := time.Duration(max(1, (ix.largestZone()+unscaledZoneSize-1)/unscaledZoneSize))
	t.Heartbeat *= factor
	t.Lease *= factor
	return t
}
