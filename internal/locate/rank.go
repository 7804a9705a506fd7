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
	// MaxEntries is the length of a ranked list.
	MaxEntries = 8
	// zoneLatency is the one-way latency between two zones of a region, for
	// the order of zones alone.
	zoneLatency = time.Millisecond
	// unlinked is the distance of regions without a link.
	unlinked = time.Duration(math.MaxInt64)
)

// Ranker orders the entry instances for callers: first those of the caller's
// zone, then those of its region, then other regions by latency. Instances of
// drained zones come last. Equal instances are spread over the callers by a
// rendezvous hash of the caller's address. It is safe for concurrent use.
type Ranker struct {
	distances map[string]map[string]time.Duration // by zone, then by zone
	table     atomic.Pointer[Table]
	orders    atomic.Pointer[orders]
}

// orders caches what depends on the snapshot alone. The tiers of a zone are
// worked out when its first caller asks.
type orders struct {
	snapshot *control.Snapshot
	// groups holds the usable instances of each zone.
	groups map[string][]*control.EntryView

	mu    sync.Mutex
	tiers map[string][]tier // by the callers' zone
}

// tier holds instances that are equal for the callers of a zone.
type tier struct {
	drained  bool
	distance time.Duration
	entries  []*control.EntryView
}

// NewRanker returns a ranker for the topology. The table gives the zones of
// callers.
func NewRanker(topology *settings.Topology, table *Table) *Ranker {
	r := &Ranker{distances: distances(topology)}
	r.table.Store(table)
	return r
}

// SetTable replaces the table of callers' blocks.
func (r *Ranker) SetTable(table *Table) { r.table.Store(table) }

// Rank returns at most MaxEntries instances for a client, the best first. An
// instance that is not alive or is leaving is left out. A client of an unknown
// block counts as one of the answering instance's zone.
func (r *Ranker) Rank(snapshot *control.Snapshot, client netip.Addr) []control.EntryView {
	zone, ok := r.table.Load().Zone(client)
	if !ok {
		zone = snapshot.Zone
	}
	list := make([]control.EntryView, 0, MaxEntries)
	for _, t := range r.tiers(snapshot, zone) {
		list = t.appendTo(list, client)
		if len(list) == MaxEntries {
			break
		}
	}
	return list
}

// tiers returns the instances in order for the callers of a zone.
func (r *Ranker) tiers(snapshot *control.Snapshot, zone string) []tier {
	cached := r.orders.Load()
	if cached == nil || cached.snapshot != snapshot {
		cached = newOrders(snapshot)
		r.orders.Store(cached)
	}
	row, ok := r.distances[zone]
	if !ok {
		zone = snapshot.Zone
		row = r.distances[zone]
	}
	return cached.from(zone, row)
}

func newOrders(snapshot *control.Snapshot) *orders {
	o := &orders{
		snapshot: snapshot,
		groups:   make(map[string][]*control.EntryView),
		tiers:    make(map[string][]tier),
	}
	o.group(isServing)
	if len(o.groups) == 0 {
		o.group(isStaying)
	}
	return o
}

// group enters the instances that are usable.
func (o *orders) group(usable func(*control.EntryView) bool) {
	for i := range o.snapshot.Entries {
		entry := &o.snapshot.Entries[i]
		if usable(entry) {
			o.groups[entry.Zone] = append(o.groups[entry.Zone], entry)
		}
	}
}

// isServing accepts the instances that callers should use.
func isServing(entry *control.EntryView) bool {
	return entry.Alive && entry.State == control.Serving
}

// isStaying accepts those that are taken where none serves.
func isStaying(entry *control.EntryView) bool {
	return entry.Alive && entry.State < control.Leaving
}

// from returns the tiers for the callers of a zone with the distances.
func (o *orders) from(zone string, row map[string]time.Duration) []tier {
	o.mu.Lock()
	defer o.mu.Unlock()
	tiers, ok := o.tiers[zone]
	if !ok {
		tiers = o.order(row)
		o.tiers[zone] = tiers
	}
	return tiers
}

// order groups the instances by their distances, as far as the list reaches.
func (o *orders) order(row map[string]time.Duration) []tier {
	zones := make([]tier, 0, len(o.groups))
	for zone, entries := range o.groups {
		distance, ok := row[zone]
		if !ok {
			distance = unlinked
		}
		zones = append(zones, tier{drained: o.snapshot.DrainedZones[zone], distance: distance, entries: entries})
	}
	slices.SortFunc(zones, compareTiers)
	var tiers []tier
	total := 0
	for _, z := range zones {
		last := len(tiers) - 1
		if last >= 0 && compareTiers(tiers[last], z) == 0 {
			tiers[last].entries = slices.Concat(tiers[last].entries, z.entries)
		} else if total >= MaxEntries {
			break
		} else {
			tiers = append(tiers, z)
		}
		total += len(z.entries)
	}
	return tiers
}

// compareTiers puts drained ones last, and else the nearer first.
func compareTiers(a, b tier) int {
	if a.drained != b.drained {
		if a.drained {
			return 1
		}
		return -1
	}
	return int(min(1, max(-1, a.distance-b.distance)))
}

// appendTo appends the tier's instances in the order for the client.
func (t *tier) appendTo(list []control.EntryView, client netip.Addr) []control.EntryView {
	if len(t.entries) == 1 {
		return append(list, *t.entries[0])
	}
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(t.entries))
	for i := range t.entries {
		scores[i] = scored{score: score(client, t.entries[i].Name), index: i}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	for _, s := range scores[:min(len(scores), MaxEntries-len(list))] {
		list = append(list, *t.entries[s.index])
	}
	return list
}

// score is the rendezvous hash of a client and an instance.
func score(client netip.Addr, instance string) uint64 {
	address := client.As16()
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(address[:])
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}

// distances computes the one-way latency between all pairs of zones.
func distances(topology *settings.Topology) map[string]map[string]time.Duration {
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

func zoneDistance(from, to string, regions time.Duration) time.Duration {
	switch {
	case from == to:
		return 0
	case regions == unlinked:
		return unlinked
	default:
		return zoneLatency + regions
	}
}

// regionLatencies returns the shortest latencies over the links.
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
				if a != unlinked && b != unlinked {
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
		return unlinked
	}
	return link.OneWay()
}
