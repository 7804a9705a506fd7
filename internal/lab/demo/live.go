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

// live prints the figures of each interval until ctx ends.
func (d *demo) live(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if line := d.figures(ctx); ctx.Err() == nil {
				d.say("%s", line)
			}
		case <-ctx.Done():
			return
		}
	}
}

// figures describes the last interval: requests, latency, headroom, preset.
func (d *demo) figures(ctx context.Context) string {
	parts := []string{d.preset(ctx)}
	for _, t := range d.load.Stats.Interval() {
		parts = append(parts, describe(t))
	}
	counts, err := d.Cluster.Counts(ctx)
	if err != nil {
		return strings.Join(append(parts, "headroom unknown"), " | ")
	}
	return strings.Join(append(parts, "free "+headroom(d.Plan, counts)), " | ")
}

// describe shows one service.
func describe(t caller.Totals) string {
	s := fmt.Sprintf("%s %d/s p50 %s p99 %s", t.Service, t.Run, ms(t.P50), ms(t.P99))
	if t.Refusals > 0 {
		s += fmt.Sprintf(" refused %d", t.Refusals)
	}
	if t.Unknown > 0 {
		s += fmt.Sprintf(" unknown %d", t.Unknown)
	}
	return s
}

// preset names the preset in force, as any entry knows it.
func (d *demo) preset(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	status, err := d.operator.Status(ctx, false)
	if err != nil {
		return "preset unknown"
	}
	return status.Preset
}

// headroom shows the free part of the slots of each region.
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
