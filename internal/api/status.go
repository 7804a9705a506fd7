package api

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// pausedAge is the age of a snapshot from which on nothing is dispatched.
const pausedAge = time.Second

// NewStatus describes a snapshot to operators.
func NewStatus(snap *control.Snapshot, topology *settings.Topology, now time.Time) *wire.Status {
	drains := snap.Config.Drains
	if drains == nil {
		drains = []settings.Drain{}
	}
	leaving := slices.Sorted(maps.Keys(snap.LeavingUpstreams))
	if leaving == nil {
		leaving = []string{}
	}
	return &wire.Status{
		Instance:         snap.Self,
		Zone:             snap.Zone,
		Region:           snap.Region,
		Incarnation:      snap.Incarnation,
		State:            snap.State.String(),
		AgeMs:            now.Sub(snap.At).Milliseconds(),
		ConfigVersion:    snap.Config.Version,
		Preset:           snap.Preset.Name,
		Drains:           drains,
		Entries:          entryStatuses(snap, topology),
		Pools:            poolStatuses(snap, now),
		LeavingUpstreams: leaving,
	}
}

func entryStatuses(snap *control.Snapshot, topology *settings.Topology) []wire.EntryStatus {
	out := make([]wire.EntryStatus, 0, len(snap.Instances))
	for i := range snap.Instances {
		e := &snap.Instances[i]
		declared, _ := topology.Instance(e.Name)
		out = append(out, wire.EntryStatus{
			Name: e.Name, Zone: e.Zone, Region: e.Region,
			Callers: e.Callers, Operators: declared.Operators,
			Alive: e.Alive, State: e.State.String(), Incarnation: e.Incarnation,
			ConfigVersion: e.ConfigVersion, Busy: e.Busy, Slots: e.Slots,
		})
	}
	return out
}

// sortedPools returns the pools by service and zone.
func sortedPools(snap *control.Snapshot) []*control.PoolView {
	pools := slices.Collect(maps.Values(snap.Pools))
	slices.SortFunc(pools, func(a, b *control.PoolView) int {
		return cmp.Or(cmp.Compare(a.ID.Service, b.ID.Service), cmp.Compare(a.ID.Zone, b.ID.Zone))
	})
	return pools
}

func poolStatuses(snap *control.Snapshot, now time.Time) []wire.PoolStatus {
	zones := zonesOfEntries(snap)
	pools := sortedPools(snap)
	out := make([]wire.PoolStatus, 0, len(pools))
	for _, p := range pools {
		status := wire.PoolStatus{Service: p.ID.Service, Zone: p.ID.Zone, Region: p.Region, Owners: []wire.PoolOwner{}}
		for _, o := range p.Owners {
			status.Owners = append(status.Owners, wire.PoolOwner{
				Instance: o.Instance,
				Adopted:  zones[o.Instance] != p.ID.Zone,
				Slots:    o.Slots, Busy: o.Busy, Queued: o.Queued,
				AgeMs: now.Sub(o.LoadAt).Milliseconds(),
			})
		}
		out = append(out, status)
	}
	return out
}

func zonesOfEntries(snap *control.Snapshot) map[string]string {
	zones := make(map[string]string, len(snap.Instances))
	for i := range snap.Instances {
		zones[snap.Instances[i].Name] = snap.Instances[i].Zone
	}
	return zones
}

// explain says in words why the instance acts as it does.
func explain(snap *control.Snapshot, now time.Time) []string {
	lines := []string{fmt.Sprintf("%s is %s with preset %s of version %d",
		snap.Self, snap.State, snap.Preset.Name, snap.Config.Version)}
	if age := now.Sub(snap.At); age > pausedAge {
		lines = append(lines, fmt.Sprintf("the control loop last ran %s ago: nothing is dispatched", age.Round(time.Millisecond)))
	}
	for i := range snap.Instances {
		if e := &snap.Instances[i]; !e.Alive {
			lines = append(lines, fmt.Sprintf("%s in %s does not answer heartbeats", e.Name, e.Zone))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(snap.DrainedZones)) {
		lines = append(lines, "zone "+zone+" is drained: it gets no new work, and its callers are sent elsewhere")
	}
	for _, name := range slices.Sorted(maps.Keys(snap.LeavingUpstreams)) {
		lines = append(lines, "upstream "+name+" is leaving: it gets no new work")
	}
	lines = append(lines, explainUnowned(snap)...)
	for _, p := range sortedPools(snap) {
		if grant, owned := snap.Owned[p.ID]; owned {
			lines = append(lines, explainGrant(p.ID, grant, now)...)
		}
	}
	return lines
}

// explainUnowned has a line for each zone with pools that nobody dispatches to.
func explainUnowned(snap *control.Snapshot) []string {
	services := make(map[string][]string)
	for _, p := range sortedPools(snap) {
		if len(p.Owners) == 0 {
			services[p.ID.Zone] = append(services[p.ID.Zone], p.ID.Service)
		}
	}
	var lines []string
	for _, zone := range slices.Sorted(maps.Keys(services)) {
		lines = append(lines, fmt.Sprintf("zone %s: no owner for the pools of %s, their work goes to other zones or is refused",
			zone, strings.Join(services[zone], ", ")))
	}
	return lines
}

func explainGrant(pool work.PoolID, grant control.Grant, now time.Time) []string {
	var lines []string
	switch {
	case now.After(grant.BaseUntil):
		lines = append(lines, fmt.Sprintf("pool %s: the lease has run out, nothing is dispatched", pool))
	case grant.Adopted:
		lines = append(lines, fmt.Sprintf("pool %s is adopted: its own zone is silent, its reserved slots are used", pool))
	case now.After(grant.FullUntil):
		lines = append(lines, fmt.Sprintf("pool %s: the neighbouring zone has not confirmed, the reserved slots stay unused", pool))
	}
	if grant.Occupied > 0 {
		lines = append(lines, fmt.Sprintf("pool %s: %d requests of a former owner are still in flight", pool, grant.Occupied))
	}
	return lines
}
