package locate

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/settings"
)

const (
	// MaxRanked is the maximum length of a ranked list.
	MaxRanked = 8
	// interZoneLatency is the assumed one-way latency between two zones of a
	// region. It is used only to order zones.
	interZoneLatency = time.Millisecond
	// unreachable is the distance between regions that no path of links connects.
	unreachable = time.Duration(math.MaxInt64)
)

// Ranker orders the instances for callers: first those of the caller's zone, then
// those of its region, then those of other regions by latency. Instances of
// drained zones come last. Rendezvous hashing of the caller's address orders
// instances of equal distance, and so spreads callers over them. A Ranker is
// safe for concurrent use.
type Ranker struct {
	distances map[string]map[string]time.Duration // one-way latency by source zone and target zone
	table     atomic.Pointer[Table]
	tierCache atomic.Pointer[snapshotTiers]
}

// snapshotTiers caches the part of a ranking that depends only on the snapshot.
// The tiers of a zone are computed on the first request from that zone.
type snapshotTiers struct {
	snapshot *control.Snapshot
	// byZone holds the usable instances of each zone.
	byZone map[string][]*control.InstanceView

	mu    sync.Mutex
	tiers map[string][]tier // by zone of the caller
}

// tier is a set of instances that rank equally for the callers of a zone.
type tier struct {
	drained   bool
	distance  time.Duration
	instances []*control.InstanceView
}

// NewRanker returns a ranker for the topology. The table maps the addresses of
// callers to zones.
func NewRanker(topology *settings.Topology, table *Table) *Ranker {
	r := &Ranker{distances: zoneDistances(topology)}
	r.table.Store(table)
	return r
}

// SetTable replaces the table that maps the addresses of callers to zones.
func (r *Ranker) SetTable(table *Table) { r.table.Store(table) }

// Rank returns at most MaxRanked instances for a client, the best first. It
// returns instances that are alive and serving or, if there is none, those that
// are alive and not yet leaving. A client whose address is in no block is treated
// as if it were in the zone of the instance that ranks.
func (r *Ranker) Rank(snapshot *control.Snapshot, client netip.Addr) []control.InstanceView {
	zone, ok := r.table.Load().Zone(client)
	if !ok {
		zone = snapshot.Zone
	}
	list := make([]control.InstanceView, 0, MaxRanked)
	for _, t := range r.tiers(snapshot, zone) {
		list = t.appendRanked(list, client)
		if len(list) == MaxRanked {
			break
		}
	}
	return list
}

// tiers returns the tiers for callers in a zone, the best first. An unknown zone
// is replaced by that of the instance that ranks.
func (r *Ranker) tiers(snapshot *control.Snapshot, zone string) []tier {
	cached := r.tierCache.Load()
	if cached == nil || cached.snapshot != snapshot {
		cached = newSnapshotTiers(snapshot)
		r.tierCache.Store(cached)
	}
	distances, ok := r.distances[zone]
	if !ok {
		zone = snapshot.Zone
		distances = r.distances[zone]
	}
	return cached.tiersFor(zone, distances)
}

func newSnapshotTiers(snapshot *control.Snapshot) *snapshotTiers {
	s := &snapshotTiers{
		snapshot: snapshot,
		byZone:   make(map[string][]*control.InstanceView),
		tiers:    make(map[string][]tier),
	}
	s.addUsable(isServing)
	if len(s.byZone) == 0 {
		s.addUsable(isAliveNotLeaving)
	}
	return s
}

// addUsable adds the usable instances of the snapshot to byZone.
func (s *snapshotTiers) addUsable(usable func(*control.InstanceView) bool) {
	for i := range s.snapshot.Instances {
		instance := &s.snapshot.Instances[i]
		if usable(instance) {
			s.byZone[instance.Zone] = append(s.byZone[instance.Zone], instance)
		}
	}
}

// isServing selects the instances that callers should use.
func isServing(instance *control.InstanceView) bool {
	return instance.Alive && instance.State == control.Serving
}

// isAliveNotLeaving selects the instances that are used if none is serving.
func isAliveNotLeaving(instance *control.InstanceView) bool {
	return instance.Alive && instance.State < control.Leaving
}

// tiersFor returns the tiers for callers in a zone, given the distances from that
// zone. It computes them on the first call for a zone.
func (s *snapshotTiers) tiersFor(zone string, distances map[string]time.Duration) []tier {
	s.mu.Lock()
	defer s.mu.Unlock()
	tiers, ok := s.tiers[zone]
	if !ok {
		tiers = s.buildTiers(distances)
		s.tiers[zone] = tiers
	}
	return tiers
}

// buildTiers groups the instances by distance into tiers, the best first. It adds
// complete tiers until they hold at least MaxRanked instances.
func (s *snapshotTiers) buildTiers(distances map[string]time.Duration) []tier {
	zones := make([]tier, 0, len(s.byZone))
	for zone, instances := range s.byZone {
		distance, ok := distances[zone]
		if !ok {
			distance = unreachable
		}
		zones = append(zones, tier{drained: s.snapshot.DrainedZones[zone], distance: distance, instances: instances})
	}
	slices.SortFunc(zones, compareTiers)
	var tiers []tier
	total := 0
	for _, z := range zones {
		last := len(tiers) - 1
		if last >= 0 && compareTiers(tiers[last], z) == 0 {
			tiers[last].instances = slices.Concat(tiers[last].instances, z.instances)
		} else if total >= MaxRanked {
			break
		} else {
			tiers = append(tiers, z)
		}
		total += len(z.instances)
	}
	return tiers
}

// compareTiers orders drained tiers last and otherwise by distance.
func compareTiers(a, b tier) int {
	if a.drained != b.drained {
		if a.drained {
			return 1
		}
		return -1
	}
	return int(min(1, max(-1, a.distance-b.distance)))
}

// appendRanked appends the tier's instances in descending order of their
// rendezvous score for the client, until the list holds MaxRanked instances.
func (t *tier) appendRanked(list []control.InstanceView, client netip.Addr) []control.InstanceView {
	if len(t.instances) == 1 {
		return append(list, *t.instances[0])
	}
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(t.instances))
	for i := range t.instances {
		scores[i] = scored{score: rendezvousScore(client, t.instances[i].Name), index: i}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	for _, s := range scores[:min(len(scores), MaxRanked-len(list))] {
		list = append(list, *t.instances[s.index])
	}
	return list
}

// rendezvousScore returns the rendezvous hash of a client and an instance.
func rendezvousScore(client netip.Addr, instance string) uint64 {
	address := client.As16()
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(address[:])
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}

// zoneDistances returns the one-way latency between all pairs of zones.
func zoneDistances(topology *settings.Topology) map[string]map[string]time.Duration {
	regions := regionLatencies(topology)
	all := make(map[string]map[string]time.Duration)
	for fromRegion, from := range topology.Zones() {
		row := make(map[string]time.Duration)
		for toRegion, to := range topology.Zones() {
			row[to.Name] = zoneDistance(from.Name, to.Name, regions[fromRegion.Name][toRegion.Name])
		}
		all[from.Name] = row
	}
	return all
}

func zoneDistance(from, to string, regionLatency time.Duration) time.Duration {
	switch {
	case from == to:
		return 0
	case regionLatency == unreachable:
		return unreachable
	default:
		return interZoneLatency + regionLatency
	}
}

// regionLatencies returns the one-way latency of the shortest path over links
// between all pairs of regions (Floyd-Warshall algorithm).
func regionLatencies(topology *settings.Topology) map[string]map[string]time.Duration {
	latencies := make(map[string]map[string]time.Duration)
	for _, from := range topology.Regions {
		latencies[from.Name] = make(map[string]time.Duration)
		for _, to := range topology.Regions {
			latencies[from.Name][to.Name] = directLatency(topology, from.Name, to.Name)
		}
	}
	for _, via := range topology.Regions {
		for _, from := range topology.Regions {
			for _, to := range topology.Regions {
				a, b := latencies[from.Name][via.Name], latencies[via.Name][to.Name]
				if a != unreachable && b != unreachable {
					latencies[from.Name][to.Name] = min(latencies[from.Name][to.Name], a+b)
				}
			}
		}
	}
	return latencies
}

func directLatency(topology *settings.Topology, from, to string) time.Duration {
	if from == to {
		return 0
	}
	link := topology.Link(from, to)
	if link == nil {
		return unreachable
	}
	return link.OneWay()
}
