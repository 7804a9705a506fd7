package locate

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"

	"sycamoreledge.example/internal/settings"
)

// BlockAssignment assigns an address block to a zone. An empty zone removes the block.
type BlockAssignment struct {
	Prefix netip.Prefix
	Zone   string
}

// Table maps addresses to zones by longest prefix match. It is immutable: Apply
// returns a new version that shares unchanged parts with the old one.
//
// IPv4 blocks of /16 and longer, which are nearly all blocks, are stored in
// sorted arrays, one per /16, with 6 bytes per block. All other blocks (shorter
// IPv4 blocks and all IPv6 blocks) are stored in a map, which is copied when one
// of them changes.
type Table struct {
	zones     []string // by zone index - 1; index 0 means no zone
	pages     [fanOut]*page
	mapBlocks map[netip.Prefix]uint16 // zone index by block
	// mapLengths4 and mapLengths6 are the prefix lengths that occur in mapBlocks
	// for IPv4 and IPv6, the longest first.
	mapLengths4 []int
	mapLengths6 []int
	count       int
}

const (
	// fanOut is the number of pages of a table and of buckets of a page: one per
	// value of an address byte.
	fanOut = 256
	// bucketBits is the prefix length of the block that a bucket covers.
	bucketBits = 16
	ipv4Bits   = 32
	maxZones   = math.MaxUint16
)

// page holds the buckets of one /8, indexed by the second byte of the address.
type page [fanOut]bucket

// NewTable returns a table of the blocks. If a block occurs more than once, its
// last occurrence applies. It fails on an invalid prefix and on more than 65535
// zones.
func NewTable(blocks []BlockAssignment) (*Table, error) {
	empty := &Table{mapBlocks: map[netip.Prefix]uint16{}}
	return empty.Apply(blocks)
}

// FromTopology returns a table of the blocks of a topology. It fails if a prefix
// cannot be parsed, and for the reasons of NewTable.
func FromTopology(topology *settings.Topology) (*Table, error) {
	blocks := make([]BlockAssignment, 0, len(topology.Blocks))
	for _, block := range topology.Blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		blocks = append(blocks, BlockAssignment{Prefix: prefix, Zone: block.Zone})
	}
	return NewTable(blocks)
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.count }

// Zone returns the zone of the longest block that contains the address, or false
// if there is none.
func (t *Table) Zone(addr netip.Addr) (string, bool) {
	addr = addr.Unmap()
	index := t.zoneIndex(addr)
	if index == 0 {
		return "", false
	}
	return t.zones[index-1], true
}

// zoneIndex returns the zone index of an address, or 0 if no block contains it.
func (t *Table) zoneIndex(addr netip.Addr) uint16 {
	if !addr.Is4() {
		return t.mapZoneIndex(addr, t.mapLengths6)
	}
	octets := addr.As4()
	if p := t.pages[octets[0]]; p != nil {
		low := binary.BigEndian.Uint16(octets[2:])
		if index := p[octets[1]].lookup(low); index != 0 {
			return index
		}
	}
	return t.mapZoneIndex(addr, t.mapLengths4)
}

func (t *Table) mapZoneIndex(addr netip.Addr, lengths []int) uint16 {
	for _, bits := range lengths {
		prefix, err := addr.Prefix(bits)
		if err != nil {
			return 0
		}
		if index, ok := t.mapBlocks[prefix]; ok {
			return index
		}
	}
	return 0
}

// Apply returns a new version of the table with the changes applied. A later
// change to a block overrides an earlier one. The receiver is unchanged. It fails
// for the reasons of NewTable.
func (t *Table) Apply(changes []BlockAssignment) (*Table, error) {
	next := *t
	next.zones = slices.Clip(t.zones)
	edits, err := next.resolve(changes)
	if err != nil {
		return nil, err
	}
	next.applyBucketEdits(edits.inBuckets)
	next.applyMapEdits(edits.inMap)
	return &next, nil
}

// edits holds changes with resolved zone indexes, separated by the structure
// that stores their blocks.
type edits struct {
	inBuckets []bucketEdit
	inMap     []mapEdit
}

// bucketEdit is a change of one block in a bucket.
type bucketEdit struct {
	addr      uint32
	order     uint32 // position in the list of changes
	zoneIndex uint16
	bits      uint8
}

// mapEdit is a change of one block in the map.
type mapEdit struct {
	prefix    netip.Prefix
	zoneIndex uint16
}

// resolve converts changes to edits and adds new zones to the table. The edits
// of buckets are sorted by compareEdits.
func (t *Table) resolve(changes []BlockAssignment) (edits, error) {
	result := edits{inBuckets: make([]bucketEdit, 0, len(changes))}
	indexByZone := make(map[string]uint16, len(t.zones))
	for i, zone := range t.zones {
		indexByZone[zone] = uint16(i + 1)
	}
	for i, change := range changes {
		prefix, err := canonicalPrefix(change.Prefix)
		if err != nil {
			return edits{}, err
		}
		zoneIndex, err := t.internZone(indexByZone, change.Zone)
		if err != nil {
			return edits{}, err
		}
		if !prefix.Addr().Is4() || prefix.Bits() < bucketBits {
			result.inMap = append(result.inMap, mapEdit{prefix: prefix, zoneIndex: zoneIndex})
			continue
		}
		octets := prefix.Addr().As4()
		result.inBuckets = append(result.inBuckets, bucketEdit{
			addr: binary.BigEndian.Uint32(octets[:]), order: uint32(i), zoneIndex: zoneIndex, bits: uint8(prefix.Bits()),
		})
	}
	slices.SortFunc(result.inBuckets, compareEdits)
	return result, nil
}

// canonicalPrefix returns the prefix with its host bits cleared and an
// IPv4-mapped IPv6 prefix converted to IPv4.
func canonicalPrefix(prefix netip.Prefix) (netip.Prefix, error) {
	if !prefix.IsValid() {
		return netip.Prefix{}, Error.New("invalid address block %q: expected an IPv4 or IPv6 prefix", prefix)
	}
	if addr := prefix.Addr(); addr.Is4In6() {
		bits := prefix.Bits() - (addr.BitLen() - ipv4Bits)
		if bits < 0 {
			return netip.Prefix{}, Error.New("address block %q mixes IPv4 and IPv6: an IPv4-mapped prefix must have at least 96 bits", prefix)
		}
		prefix = netip.PrefixFrom(addr.Unmap(), bits)
	}
	return prefix.Masked(), nil
}

// internZone returns the index of a zone, adding the zone if it is new, or 0 for
// the empty zone.
func (t *Table) internZone(indexByZone map[string]uint16, zone string) (uint16, error) {
	if zone == "" {
		return 0, nil
	}
	if index, ok := indexByZone[zone]; ok {
		return index, nil
	}
	if len(t.zones) == maxZones {
		return 0, Error.New("the blocks name more than the maximum of %d zones", maxZones)
	}
	t.zones = append(t.zones, zone)
	index := uint16(len(t.zones))
	indexByZone[zone] = index
	return index, nil
}

// compareEdits orders edits by block, and edits of the same block by position in
// the list of changes.
func compareEdits(a, b bucketEdit) int {
	switch {
	case a.addr != b.addr:
		return lessToOrder(a.addr < b.addr)
	case a.bits != b.bits:
		return lessToOrder(a.bits < b.bits)
	default:
		return lessToOrder(a.order < b.order)
	}
}

func lessToOrder(less bool) int {
	if less {
		return -1
	}
	return 1
}

// applyBucketEdits replaces the buckets that the sorted edits change, and copies
// the pages that contain them.
func (t *Table) applyBucketEdits(sorted []bucketEdit) {
	copiedPage := -1
	for len(sorted) > 0 {
		high16 := sorted[0].addr >> bucketBits
		end := slices.IndexFunc(sorted, func(e bucketEdit) bool { return e.addr>>bucketBits != high16 })
		if end < 0 {
			end = len(sorted)
		}
		firstByte, secondByte := int(high16>>8), int(high16&0xff)
		if copiedPage != firstByte {
			t.pages[firstByte] = copyPage(t.pages[firstByte])
			copiedPage = firstByte
		}
		old := t.pages[firstByte][secondByte]
		merged := old.merge(sorted[:end])
		t.count += len(merged) - len(old)
		t.pages[firstByte][secondByte] = merged
		sorted = sorted[end:]
	}
}

func copyPage(old *page) *page {
	if old == nil {
		return &page{}
	}
	copied := *old
	return &copied
}

// applyMapEdits replaces the map by a changed copy if there are edits.
func (t *Table) applyMapEdits(changed []mapEdit) {
	if len(changed) == 0 {
		return
	}
	t.count -= len(t.mapBlocks)
	t.mapBlocks = maps.Clone(t.mapBlocks)
	for _, e := range changed {
		if e.zoneIndex == 0 {
			delete(t.mapBlocks, e.prefix)
			continue
		}
		t.mapBlocks[e.prefix] = e.zoneIndex
	}
	t.count += len(t.mapBlocks)
	t.mapLengths4, t.mapLengths6 = prefixLengths(t.mapBlocks)
}

// prefixLengths returns the prefix lengths that occur for IPv4 and IPv6, the
// longest first.
func prefixLengths(blocks map[netip.Prefix]uint16) (four, six []int) {
	seen4, seen6 := map[int]bool{}, map[int]bool{}
	for prefix := range blocks {
		if prefix.Addr().Is4() {
			seen4[prefix.Bits()] = true
			continue
		}
		seen6[prefix.Bits()] = true
	}
	return sortedDescending(seen4), sortedDescending(seen6)
}

func sortedDescending(lengths map[int]bool) []int {
	sorted := slices.Sorted(maps.Keys(lengths))
	slices.Reverse(sorted)
	return sorted
}
