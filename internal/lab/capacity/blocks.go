package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"sycamoreledge.example/internal/locate"
)

// Blocks is the cost of the table that maps callers' address blocks to zones.
type Blocks struct {
	Count int
	// Build is the CPU time of the initial build; Heap is the live memory of
	// the table in bytes.
	Build time.Duration
	Heap  uint64
	// Delta is the CPU time of one update of deltaBlocks blocks.
	Delta time.Duration
	// Lookup is the mean CPU time of a look-up of a random address.
	Lookup time.Duration
}

const (
	// deltaBlocks is the number of blocks in one update.
	deltaBlocks = 1000
	// blockLookups is the number of timed look-ups.
	blockLookups = 2_000_000
)

// MeasureBlocks builds a table of count /24 blocks spread over the IPv4 unicast
// range and measures its build, update and look-up costs. It also returns the
// table.
func MeasureBlocks(count, zones int, seed uint64) (Blocks, *locate.Table, error) {
	r := rand.New(rand.NewPCG(seed, 0))
	changes := randomBlocks(r, count, zones)
	before := liveHeap()
	begin := processTime()
	table, err := locate.NewTable(changes)
	if err != nil {
		return Blocks{}, nil, err
	}
	b := Blocks{Count: count, Build: processTime() - begin}
	b.Heap = liveHeap() - before
	runtime.KeepAlive(changes)
	if b.Delta, err = timeDelta(r, table, changes, zones); err != nil {
		return Blocks{}, nil, err
	}
	b.Lookup = timeLookups(r, table)
	return b, table, nil
}

// randomBlocks returns count distinct /24 blocks in random zones.
func randomBlocks(r *rand.Rand, count, zones int) []locate.BlockAssignment {
	const first, last = 1 << 16, 224 << 16 // in /24 blocks
	step := (last - first) / count
	changes := make([]locate.BlockAssignment, count)
	for i := range changes {
		n := uint32(first + i*step + r.IntN(step))
		addr := netip.AddrFrom4([4]byte{byte(n >> 16), byte(n >> 8), byte(n), 0})
		changes[i] = locate.BlockAssignment{Prefix: netip.PrefixFrom(addr, 24), Zone: zoneName(r.IntN(zones))}
	}
	return changes
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

func timeDelta(r *rand.Rand, table *locate.Table, known []locate.BlockAssignment, zones int) (time.Duration, error) {
	delta := make([]locate.BlockAssignment, deltaBlocks)
	for i := range delta {
		delta[i] = locate.BlockAssignment{Prefix: known[r.IntN(len(known))].Prefix, Zone: zoneName(r.IntN(zones))}
	}
	begin := processTime()
	_, err := table.Apply(delta)
	return processTime() - begin, err
}

func timeLookups(r *rand.Rand, table *locate.Table) time.Duration {
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		n := r.Uint32()
		addrs[i] = netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin := threadTime()
	for i := range blockLookups {
		table.Zone(addrs[i%len(addrs)])
	}
	return (threadTime() - begin) / blockLookups
}
