package locate_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/locate"
	"sycamoreledge.example/internal/settings"
)

// Size of the benchmark table: the number of /24 blocks and of zones.
const (
	benchBlocks = 2_000_000
	benchZones  = 79
)

// blocks24 returns distinct /24 blocks spread over the unicast address space.
func blocks24(count int) []locate.BlockAssignment {
	const first, last = 1 << 16, 224 << 16 // counted in /24 blocks
	r := rand.New(rand.NewPCG(1, 1))
	step := (last - first) / count
	changes := make([]locate.BlockAssignment, count)
	for i := range changes {
		n := uint32(first + i*step + r.IntN(step))
		addr := netip.AddrFrom4([4]byte{byte(n >> 16), byte(n >> 8), byte(n), 0})
		changes[i] = locate.BlockAssignment{Prefix: netip.PrefixFrom(addr, 24), Zone: fmt.Sprint("zone-", r.IntN(benchZones))}
	}
	return changes
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func benchTable(b *testing.B) (*locate.Table, []locate.BlockAssignment) {
	b.Helper()
	changes := blocks24(benchBlocks)
	table, err := locate.NewTable(changes)
	if err != nil {
		b.Fatal(err)
	}
	return table, changes
}

func BenchmarkBuild(b *testing.B) {
	changes := blocks24(benchBlocks)
	before := heapBytes()
	var table *locate.Table
	for b.Loop() {
		var err error
		if table, err = locate.NewTable(changes); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
	runtime.KeepAlive(changes)
	runtime.KeepAlive(table)
}

func BenchmarkDelta(b *testing.B) {
	table, changes := benchTable(b)
	for _, size := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			r := rand.New(rand.NewPCG(2, 2))
			delta := make([]locate.BlockAssignment, size)
			for b.Loop() {
				for i := range delta {
					delta[i] = locate.BlockAssignment{Prefix: changes[r.IntN(len(changes))].Prefix, Zone: "zone-1"}
				}
				if _, err := table.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	table, changes := benchTable(b)
	addrs := make([]netip.Addr, 1<<16)
	r := rand.New(rand.NewPCG(3, 3))
	for i := range addrs {
		addrs[i] = changes[r.IntN(len(changes))].Prefix.Addr().Next()
	}
	i := 0
	for b.Loop() {
		if _, ok := table.Zone(addrs[i&(len(addrs)-1)]); !ok {
			b.Fatal("address not found")
		}
		i++
	}
}

// ringTopology returns a topology with the given number of zones, three per
// region, whose regions are linked in a ring.
func ringTopology(zones int) *settings.Topology {
	t := &settings.Topology{Blocks: []settings.Block{{Prefix: "10.1.0.0/16", Zone: "zone-0"}}}
	for i := range zones {
		if i%3 == 0 {
			t.Regions = append(t.Regions, settings.Region{Name: fmt.Sprint("region-", i/3)})
		}
		region := &t.Regions[i/3]
		region.Zones = append(region.Zones, settings.Zone{Name: fmt.Sprint("zone-", i)})
	}
	for i := range t.Regions {
		next := t.Regions[(i+1)%len(t.Regions)].Name
		t.Links = append(t.Links, settings.Link{Between: []string{t.Regions[i].Name, next}, Latency: 20})
	}
	return t
}

func benchSnapshot(instances, zones int) *control.Snapshot {
	s := &control.Snapshot{Zone: "zone-0"}
	for i := range instances {
		s.Instances = append(s.Instances, control.InstanceView{
			Name: fmt.Sprint("e", i), Zone: fmt.Sprint("zone-", i%zones), Alive: true, State: control.Serving,
		})
	}
	return s
}

// rankSizes holds the numbers of instances and zones of the rank benchmarks.
var rankSizes = []struct{ instances, zones int }{{8, 6}, {2400, benchZones}}

func BenchmarkRank(b *testing.B) {
	for _, size := range rankSizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			ranker, s := newBenchRanker(b, size.zones), benchSnapshot(size.instances, size.zones)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ranker.Rank(s, netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}))
			}
		})
	}
}

// BenchmarkNewSnapshot measures the first ranking with a new snapshot, which
// computes the tiers.
func BenchmarkNewSnapshot(b *testing.B) {
	for _, size := range rankSizes {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			ranker, s := newBenchRanker(b, size.zones), benchSnapshot(size.instances, size.zones)
			client := netip.MustParseAddr("10.1.2.3")
			b.ReportAllocs()
			for b.Loop() {
				fresh := *s
				ranker.Rank(&fresh, client)
			}
		})
	}
}

func newBenchRanker(b *testing.B, zones int) *locate.Ranker {
	b.Helper()
	table, err := locate.FromTopology(ringTopology(zones))
	if err != nil {
		b.Fatal(err)
	}
	return locate.NewRanker(ringTopology(zones), table)
}
