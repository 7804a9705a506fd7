package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/upstream"
)

// reportIntervals prints the figures of each interval until ctx is done.
func (d *demo) reportIntervals(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if line := d.intervalLine(ctx); ctx.Err() == nil {
				d.logf("%s", line)
			}
		case <-ctx.Done():
			return
		}
	}
}

// intervalLine formats the preset, the requests and latencies of the last
// interval, and the current headroom.
func (d *demo) intervalLine(ctx context.Context) string {
	parts := []string{d.preset(ctx)}
	for _, t := range d.load.Stats.Interval() {
		parts = append(parts, describeService(t))
	}
	counts, err := d.Cluster.Counts(ctx)
	if err != nil {
		return strings.Join(append(parts, "headroom unknown"), " | ")
	}
	return strings.Join(append(parts, "free "+headroom(d.Plan, counts)), " | ")
}

// describeService formats the figures of one service.
func describeService(t caller.Totals) string {
	s := fmt.Sprintf("%s %d/s p50 %s p99 %s", t.Service, t.Run, formatMillis(t.P50), formatMillis(t.P99))
	if t.Refusals > 0 {
		s += fmt.Sprintf(" refused %d", t.Refusals)
	}
	if t.Unknown > 0 {
		s += fmt.Sprintf(" unknown %d", t.Unknown)
	}
	return s
}

// preset returns the name of the preset in force, as reported by the entry that
// answers the status request.
func (d *demo) preset(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	status, err := d.operator.Status(ctx, false)
	if err != nil {
		return "preset unknown"
	}
	return status.Preset
}

// headroom formats the percentage of free slots in each region.
func headroom(p *firm.Plan, counts []upstream.Counts) string {
	slots, busy := map[string]int{}, map[string]int{}
	for _, c := range counts {
		region := firm.RegionOf(&p.Topology, c.Zone)
		slots[region] += c.Slots
		busy[region] += c.Busy
	}
	var parts []string
	for _, r := range p.Topology.Regions {
		free := 100 * (slots[r.Name] - busy[r.Name]) / max(1, slots[r.Name])
		parts = append(parts, fmt.Sprintf("%s %d%%", r.Name, free))
	}
	return strings.Join(parts, " ")
}
