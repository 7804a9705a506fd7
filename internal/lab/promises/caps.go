package promises

import (
	"context"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
	"sycamoreledge.example/internal/settings"
)

// capWindow is the span in which the bytes of a link are held to its cap.
const capWindow = time.Second

// Bytes that one instance may send at once, as the time of its share and as a
// floor.
const (
	linkBurstTime = 20 * time.Millisecond
	minLinkBurst  = 16 << 10
)

// direction is one way between two regions.
type direction struct{ from, to string }

// checkCaps compares what passed between regions since a time with the caps.
// Where the preset changed, the wider cap counts.
func (e *env) checkCaps(ctx context.Context, since time.Time, presets ...string) error {
	all, err := e.Cluster.Links(ctx)
	if err != nil {
		return err
	}
	windows, length := byDirection(e, all, since)
	for way, bytes := range windows {
		limit := e.capOf(way, presets)
		if limit == 0 {
			continue
		}
		share := limit / float64(instancesOf(e.Plan, way.from))
		burst := float64(instancesOf(e.Plan, way.from)) * max(share*linkBurstTime.Seconds(), minLinkBurst)
		checkCap(e.report, way, bytes, length, limit, burst)
	}
	return nil
}

// capOf is the widest cap of a link, in bytes per second.
func (e *env) capOf(way direction, presets []string) float64 {
	widest := 0.0
	for _, name := range presets {
		for _, l := range e.Plan.Preset(name).Links {
			if joins(l.Between, way) {
				widest = max(widest, settings.BytesPerSecond(l.Cap))
			}
		}
	}
	return widest
}

// joins reports whether a link lies between the regions of a direction.
func joins(between []string, way direction) bool {
	return (between[0] == way.from && between[1] == way.to) || (between[0] == way.to && between[1] == way.from)
}

// byDirection sums the windows of all zones of two regions.
func byDirection(e *env, all []link.Status, since time.Time) (map[direction]map[int64]int64, time.Duration) {
	sums := map[direction]map[int64]int64{}
	var length time.Duration
	for _, s := range all {
		way := direction{firm.RegionOf(&e.Plan.Topology, s.From), firm.RegionOf(&e.Plan.Topology, s.To)}
		if way.from == way.to {
			continue
		}
		length = time.Duration(s.WindowMs) * time.Millisecond
		if sums[way] == nil {
			sums[way] = map[int64]int64{}
		}
		for slot, bytes := range s.Windows {
			if slot*s.WindowMs >= since.UnixMilli() {
				sums[way][slot] += bytes
			}
		}
	}
	return sums, length
}

// checkCap finds a second in which more bytes passed than the limit per second
// and the burst allow.
func checkCap(r *Report, way direction, bytes map[int64]int64, length time.Duration, limit, burst float64) {
	slots := int64(capWindow / length)
	worst, most := int64(0), limit*capWindow.Seconds()+burst
	for start := range bytes {
		sum := int64(0)
		for slot := start; slot < start+slots; slot++ {
			sum += bytes[slot]
		}
		worst = max(worst, sum)
	}
	if float64(worst) > most {
		r.broken(Caps, "%d bytes went from %s to %s within %s, where %.0f are allowed", worst, way.from, way.to, capWindow, most)
	}
}
