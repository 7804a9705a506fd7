package entry

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

// ranking orders the entries for a caller.
type ranking struct {
	topology *settings.Topology
	snapshot func() *control.Snapshot
	blocks   []block
}

type block struct {
	prefix netip.Prefix
	zone   string
}

// newRanking parses the blocks of the topology, longest prefix first.
func newRanking(top *settings.Topology, snapshot func() *control.Snapshot) (*ranking, error) {
	r := &ranking{topology: top, snapshot: snapshot}
	for _, b := range top.Blocks {
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			return nil, err
		}
		r.blocks = append(r.blocks, block{prefix: prefix, zone: b.Zone})
	}
	slices.SortStableFunc(r.blocks, func(a, b block) int {
		return b.prefix.Bits() - a.prefix.Bits()
	})
	return r, nil
}

// zoneOf returns the zone of a caller, or that of this instance.
func (r *ranking) zoneOf(client netip.Addr) string {
	for _, b := range r.blocks {
		if b.prefix.Contains(client) {
			return b.zone
		}
	}
	return r.snapshot().Zone
}

// rank returns the entries that take requests, the nearest first. Equals are
// spread by the caller's address. Entries of drained zones come last.
func (r *ranking) rank(_ string, client netip.Addr) []control.EntryView {
	s := r.snapshot()
	zone := r.zoneOf(client)
	var entries []control.EntryView
	for _, e := range s.Entries {
		if e.Alive && e.State != control.Leaving && e.State != control.Left {
			entries = append(entries, e)
		}
	}
	slices.SortStableFunc(entries, func(a, b control.EntryView) int {
		return cmp.Or(
			cmp.Compare(r.distance(s, zone, a), r.distance(s, zone, b)),
			cmp.Compare(spreadScore(client, a.Name), spreadScore(client, b.Name)))
	})
	return entries
}

// Distances that order before any latency between regions, in milliseconds.
const (
	sameZone     = -2.0
	sameRegion   = -1.0
	unknownLink  = 1e6
	drainPenalty = 1e9
)

func (r *ranking) distance(s *control.Snapshot, zone string, e control.EntryView) float64 {
	region := r.topology.RegionOf(zone)
	d := unknownLink
	switch link := r.topology.Link(region, e.Region); {
	case e.Zone == zone:
		d = sameZone
	case e.Region == region:
		d = sameRegion
	case link != nil:
		d = link.Latency
	}
	if s.DrainedZones[e.Zone] {
		d += drainPenalty
	}
	return d
}

func spreadScore(client netip.Addr, name string) uint32 {
	h := fnv.New32a()
	h.Write(client.AsSlice())
	h.Write([]byte(name))
	return h.Sum32()
}
