package control

import (
	"hash/fnv"
	"slices"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// index assigns consecutive numbers to the zones, instances and pools of a
// topology, so that tables can be slices.
type index struct {
	zones     []zoneInfo
	instances []instanceInfo
	pools     []poolInfo
	byName    map[string]int // instance name to index
	byPool    map[work.PoolID]int
	// upstreamZone maps the name of an upstream to its zone.
	upstreamZone map[string]int
}

// zoneInfo describes a declared availability zone.
type zoneInfo struct {
	name      string
	region    string
	instances []int
	pools     []int
	// adopterZone is the zone that adopts the pools of this one while it is
	// silent, or -1.
	adopterZone int
}

type instanceInfo struct {
	settings.Instance
	zone int
}

type poolInfo struct {
	id    work.PoolID
	zone  int
	slots []int // of each upstream
}

// newIndex returns the index of a validated topology.
func newIndex(topology *settings.Topology) *index {
	ix := &index{byName: map[string]int{}, byPool: map[work.PoolID]int{}, upstreamZone: map[string]int{}}
	zoneByName := map[string]int{}
	for _, region := range topology.Regions {
		first := len(ix.zones)
		for offset, zone := range region.Zones {
			z := first + offset
			zoneByName[zone.Name] = z
			ix.zones = append(ix.zones, zoneInfo{
				name:        zone.Name,
				region:      region.Name,
				adopterZone: nextZoneInRegion(first, offset, len(region.Zones)),
			})
			ix.addInstances(z, zone.Instances)
		}
	}
	for _, service := range topology.Services {
		for _, pool := range service.Pools {
			z, declared := zoneByName[pool.Zone]
			if declared {
				ix.addPool(work.PoolID{Service: service.Name, Zone: pool.Zone}, z, pool.Upstreams)
			}
		}
	}
	return ix
}

// nextZoneInRegion returns the zone that follows in declared order within a
// region of count zones, which start at index first, or -1 if count is below 2.
// After the last zone comes the first.
func nextZoneInRegion(first, offset, count int) int {
	if count < 2 {
		return -1
	}
	return first + (offset+1)%count
}

// largestZone returns the number of instances in the largest zone.
func (ix *index) largestZone() int {
	largest := 0
	for z := range ix.zones {
		largest = max(largest, len(ix.zones[z].instances))
	}
	return largest
}

// largestRegion returns the number of instances in the largest region.
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
		ix.instances = append(ix.instances, instanceInfo{Instance: inst, zone: zone})
		ix.byName[inst.Name] = n
		ix.zones[zone].instances = append(ix.zones[zone].instances, n)
	}
}

func (ix *index) addPool(id work.PoolID, zone int, upstreams []settings.Upstream) {
	n := len(ix.pools)
	pool := poolInfo{id: id, zone: zone}
	for _, upstream := range upstreams {
		pool.slots = append(pool.slots, upstream.Slots)
		ix.upstreamZone[upstream.Name] = zone
	}
	ix.pools = append(ix.pools, pool)
	ix.byPool[id] = n
	ix.zones[zone].pools = append(ix.zones[zone].pools, n)
}

// rank orders the candidates by their rendezvous hash for the key, highest first.
// All instances with the same candidates get the same order.
func (ix *index) rank(key string, candidates []int) []int {
	type scored struct {
		instance int
		score    uint64
	}
	scores := make([]scored, 0, len(candidates))
	for _, candidate := range candidates {
		scores = append(scores, scored{candidate, rendezvousScore(key, ix.instances[candidate].Name)})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return a.instance - b.instance
		}
	})
	ranked := make([]int, len(scores))
	for i, s := range scores {
		ranked[i] = s.instance
	}
	return ranked
}

// best returns the candidate that rank puts first, or -1 without candidates.
func (ix *index) best(key string, candidates []int) int {
	best, bestScore := -1, uint64(0)
	for _, candidate := range candidates {
		score := rendezvousScore(key, ix.instances[candidate].Name)
		if best < 0 || score > bestScore || score == bestScore && candidate < best {
			best, bestScore = candidate, score
		}
	}
	return best
}

// rendezvousScore hashes a key together with a candidate. FNV alone distributes
// names that differ only in the last character poorly over the high bits, so a
// final mixing step follows.
func rendezvousScore(key, candidate string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(candidate))
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
