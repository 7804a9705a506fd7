package locate

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"

	"sycamoreledge.example/internal/settings"
)

// Change assigns an address block to a zone. An empty zone removes the block.
type Change struct {
	Prefix netip.Prefix
	Zone   string
}

// Table maps addresses to zones by longest prefix match. It is immutable:
// Apply returns a new version that shares all unchanged parts with the old.
//
// IPv4 blocks of /16 and longer, which are nearly all, are kept in sorted
// arrays of 6 bytes a block, one for each /16. All other blocks are kept in a
// map, which a change to one of them copies.
type Table struct {
	zones []string // zone index - 1
	pages [pageCount]*page
	wide  map[netip.Prefix]uint16
	// wideBits are the lengths that occur in wide, the longest first, for
	// IPv4 and IPv6.
	wideBits4 []int
	wideBits6 []int
	count     int
}

const (
	pageCount = 256
	// bucketBits is the length of the prefix that a bucket covers.
	bucketBits = 16
	addr4Bits  = 32
	maxZones   = math.MaxUint16
)

// page holds the buckets of one /8, by their second byte.
type page [pageCount]bucket

// NewTable returns a table of the blocks. Of several entries for one block the
// last counts. It fails on an invalid prefix.
func NewTable(blocks []Change) (*Table, error) {
	empty := &Table{wide: map[netip.Prefix]uint16{}}
	return empty.Apply(blocks)
}

// FromTopology returns the table of the blocks of a topology.
func FromTopology(topology *settings.Topology) (*Table, error) {
	blocks := make([]Change, 0, len(topology.Blocks))
	for _, block := range topology.Blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		blocks = append(blocks, Change{Prefix: prefix, Zone: block.Zone})
	}
	return NewTable(blocks)
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.count }

// Zone returns the zone of the longest block that contains the address.
func (t *Table) Zone(addr netip.Addr) (string, bool) {
	addr = addr.Unmap()
	index := t.index(addr)
	if index == 0 {
		return "", false
	}
	return t.zones[index-1], true
}

// index returns the zone index of an address, or 0.
func (t *Table) index(addr netip.Addr) uint16 {
	if !addr.Is4() {
		return t.wideIndex(addr, t.wideBits6)
	}
	octets := addr.As4()
	if p := t.pages[octets[0]]; p != nil {
		low := binary.BigEndian.Uint16(octets[2:])
		if index := p[octets[1]].lookup(low); index != 0 {
			return index
		}
	}
	return t.wideIndex(addr, t.wideBits4)
}

func (t *Table) wideIndex(addr netip.Addr, lengths []int) uint16 {
	for _, bits := range lengths {
		prefix, err := addr.Prefix(bits)
		if err != nil {
			return 0
		}
		if index, ok := t.wide[prefix]; ok {
			return index
		}
	}
	return 0
}

// Apply returns a new version with the changes, of which a later one to the
// same block overrides an earlier one. The receiver stays as it is.
func (t *Table) Apply(changes []Change) (*Table, error) {
	next := *t
	next.zones = slices.Clip(t.zones)
	edits, err := next.edits(changes)
	if err != nil {
		return nil, err
	}
	next.applyNarrow(edits.narrow)
	next.applyWide(edits.wide)
	return &next, nil
}

// edits are changes with zone indexes, by where they belong.
type edits struct {
	narrow []edit
	wide   []wideEdit
}

// edit is a change to a bucket.
type edit struct {
	addr  uint32
	order uint32 // position among the changes
	zone  uint16
	bits  uint8
}

type wideEdit struct {
	prefix netip.Prefix
	zone   uint16
}

// edits sorts out the changes and enters new zones.
func (t *Table) edits(changes []Change) (edits, error) {
	result := edits{narrow: make([]edit, 0, len(changes))}
	known := make(map[string]uint16, len(t.zones))
	for i, zone := range t.zones {
		known[zone] = uint16(i + 1)
	}
	for i, change := range changes {
		prefix, err := canonical(change.Prefix)
		if err != nil {
			return edits{}, err
		}
		zone, err := t.intern(known, change.Zone)
		if err != nil {
			return edits{}, err
		}
		if !prefix.Addr().Is4() || prefix.Bits() < bucketBits {
			result.wide = append(result.wide, wideEdit{prefix: prefix, zone: zone})
			continue
		}
		octets := prefix.Addr().As4()
		result.narrow = append(result.narrow, edit{
			addr: binary.BigEndian.Uint32(octets[:]), order: uint32(i), zone: zone, bits: uint8(prefix.Bits()),
		})
	}
	slices.SortFunc(result.narrow, compareEdits)
	return result, nil
}

// canonical returns the prefix in its one form.
func canonical(prefix netip.Prefix) (netip.Prefix, error) {
	if !prefix.IsValid() {
		return netip.Prefix{}, Error.New("invalid address block %q", prefix)
	}
	if addr := prefix.Addr(); addr.Is4In6() {
		bits := prefix.Bits() - (addr.BitLen() - addr4Bits)
		if bits < 0 {
			return netip.Prefix{}, Error.New("address block %q mixes IPv4 and IPv6", prefix)
		}
		prefix = netip.PrefixFrom(addr.Unmap(), bits)
	}
	return prefix.Masked(), nil
}

// intern returns the index of a zone, or 0 for the empty one.
func (t *Table) intern(known map[string]uint16, zone string) (uint16, error) {
	if zone == "" {
		return 0, nil
	}
	if index, ok := known[zone]; ok {
		return index, nil
	}
	if len(t.zones) == maxZones {
		return 0, Error.New("more than %d zones", maxZones)
	}
	t.zones = append(t.zones, zone)
	index := uint16(len(t.zones))
	known[zone] = index
	return index, nil
}

// compareEdits orders by block, and the changes to one block by position.
func compareEdits(a, b edit) int {
	switch {
	case a.addr != b.addr:
		return sign(a.addr < b.addr)
	case a.bits != b.bits:
		return sign(a.bits < b.bits)
	default:
		return sign(a.order < b.order)
	}
}

func sign(less bool) int {
	if less {
		return -1
	}
	return 1
}

// applyNarrow replaces the buckets that the sorted edits touch, and copies
// their pages.
func (t *Table) applyNarrow(narrow []edit) {
	copied := -1
	for len(narrow) > 0 {
		high := narrow[0].addr >> bucketBits
		end := slices.IndexFunc(narrow, func(e edit) bool { return e.addr>>bucketBits != high })
		if end < 0 {
			end = len(narrow)
		}
		first, second := int(high>>8), int(high&0xff)
		if copied != first {
			t.pages[first] = copyPage(t.pages[first])
			copied = first
		}
		old := t.pages[first][second]
		merged := old.merge(narrow[:end])
		t.count += len(merged) - len(old)
		t.pages[first][second] = merged
		narrow = narrow[end:]
	}
}

func copyPage(old *page) *page {
	if old == nil {
		return &page{}
	}
	fresh := *old
	return &fresh
}

// applyWide replaces the map when it changes.
func (t *Table) applyWide(wide []wideEdit) {
	if len(wide) == 0 {
		return
	}
	t.count -= len(t.wide)
	t.wide = maps.Clone(t.wide)
	for _, e := range wide {
		if e.zone == 0 {
			delete(t.wide, e.prefix)
			continue
		}
		t.wide[e.prefix] = e.zone
	}
	t.count += len(t.wide)
	t.wideBits4, t.wideBits6 = lengths(t.wide)
}

// lengths returns the lengths that occur, the longest first.
func lengths(wide map[netip.Prefix]uint16) (four, six []int) {
	seen4, seen6 := map[int]bool{}, map[int]bool{}
	for prefix := range wide {
		if prefix.Addr().Is4() {
			seen4[prefix.Bits()] = true
			continue
		}
		seen6[prefix.Bits()] = true
	}
	return descending(seen4), descending(seen6)
}

func descending(seen map[int]bool) []int {
	sorted := slices.Sorted(maps.Keys(seen))
	slices.Reverse(sorted)
	return sorted
}
