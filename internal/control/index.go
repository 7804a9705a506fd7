package control

import (
	"hash/fnv"
	"slices"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// index numbers the entities of a topology, so that tables are slices.
type index struct {
	zones     []zoneRow
	instances []instanceRow
	pools     []poolRow
	byName    map[string]int // instance name to index
	byPool    map[work.PoolID]int
	// upstreamZone maps the name of an upstream to its zone.
	upstreamZone map[string]int
}

// zoneRow is a declared availability zone.
type zoneRow struct {
	name      string
	region    string
	instances []int
	pools     []int
	// adopter is the zone that takes over the pools of this one, or -1.
	adopter int
}

// instanceRow is a declared instance.
type instanceRow struct {
	settings.Instance
	zone int
}

// poolRow is a declared pool.
type poolRow struct {
	id    work.PoolID
	zone  int
	slots []int // of each upstream
}

// newIndex numbers the entities of a validated topology.
func newIndex(top *settings.Topology) *index {
	ix := &index{byName: map[string]int{}, byPool: map[work.PoolID]int{}, upstreamZone: map[string]int{}}
	zoneByName := map[string]int{}
	for _, region := range top.Regions {
		first := len(ix.zones)
		for i, zone := range region.Zones {
			z := first + i
			zoneByName[zone.Name] = z
			ix.zones = append(ix.zones, zoneRow{
				name:    zone.Name,
				region:  region.Name,
				adopter: adopterOf(first, i, len(region.Zones)),
			})
			ix.addInstances(z, zone.Instances)
		}
	}
	for _, service := range top.Services {
		for _, pool := range service.Pools {
			z, declared := zoneByName[pool.Zone]
			if declared {
				ix.addPool(work.PoolID{Service: service.Name, Zone: pool.Zone}, z, pool.Upstreams)
			}
		}
	}
	return ix
}

// adopterOf returns the next zone of the region in declared order, or -1 when
// the zone is alone in its region.
func adopterOf(first, i, count int) int {
	if count < 2 {
		return -1
	}
	return first + (i+1)%count
}

// largestZone returns the number of instances of the largest zone.
func (ix *index) largestZone() int {
	largest := 0
	for z := range ix.zones {
		largest = max(largest, len(ix.zones[z].instances))
	}
	return largest
}

// largestRegion returns the number of instances of the largest region.
func (ix *index) largestRegion() int {
	counts := map[string]int{}
	for z := range ix.zones {
		counts[ix.zones[z].region] += len(ix.zones[z].instances)
	}
	largest := 0
	for _, count := range counts {
		largest = max(largest, count)
	}
	return largest
}

func (ix *index) addInstances(zone int, instances []settings.Instance) {
	for _, inst := range instances {
		n := len(ix.instances)
		ix.instances = append(ix.instances, instanceRow{Instance: inst, zone: zone})
		ix.byName[inst.Name] = n
		ix.zones[zone].instances = append(ix.zones[zone].instances, n)
	}
}

func (ix *index) addPool(id work.PoolID, zone int, upstreams []settings.Upstream) {
	n := len(ix.pools)
	row := poolRow{id: id, zone: zone}
	for _, up := range upstreams {
		row.slots = append(row.slots, up.Slots)
		ix.upstreamZone[up.Name] = zone
	}
	ix.pools = append(ix.pools, row)
	ix.byPool[id] = n
	ix.zones[zone].pools = append(ix.zones[zone].pools, n)
}

// rank orders the candidates by rendezvous hash for the key, best first. All
// instances that see the same candidates get the same order.
func (ix *index) rank(key string, candidates []int) []int {
	type scored struct {
		instance int
		score    uint64
	}
	rows := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		rows = append(rows, scored{c, rendezvousScore(key, ix.instances[c].Name)})
	}
	slices.SortFunc(rows, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return a.instance - b.instance
		}
	})
	ranked := make([]int, len(rows))
	for i, row := range rows {
		ranked[i] = row.instance
	}
	return ranked
}

// best returns the first of rank, or -1 without candidates.
func (ix *index) best(key string, candidates []int) int {
	winner, high := -1, uint64(0)
	for _, c := range candidates {
		score := rendezvousScore(key, ix.instances[c].Name)
		if winner < 0 || score > high || score == high && c < winner {
			winner, high = c, score
		}
	}
	return winner
}

// rendezvousScore hashes a key with a candidate. FNV alone is too regular in
// its high bits for names that differ in the last character, so it is mixed.
func rendezvousScore(key, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(candidate))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
