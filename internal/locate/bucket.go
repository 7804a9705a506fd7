package locate

import "sort"

// block is an address block within a /16. It takes 6 bytes.
type block struct {
	start     uint16
	zoneIndex uint16
	bits      uint8
	// outerBits is the prefix length of the longest block in the bucket that
	// encloses this one, or 0 if there is none.
	outerBits uint8
}

// bucket holds the blocks of one /16, sorted by start and then by prefix length.
type bucket []block

// lowMask returns the network mask of a prefix length, restricted to the low 16
// bits of an IPv4 address.
func lowMask(bits uint8) uint16 {
	return uint16(^uint32(0) << (ipv4Bits - uint(bits)))
}

func (b block) contains(low uint16) bool { return low&lowMask(b.bits) == b.start }

// lookup returns the zone index of the longest block that contains an address,
// given by its low 16 bits, or 0 if there is none.
//
// The last block that starts at or before the address either contains it, and
// is then the longest match, or is nested in every block that contains it. In
// the second case the search continues with the enclosing blocks.
func (b bucket) lookup(low uint16) uint16 {
	i := b.lastAtOrBefore(low)
	for i >= 0 {
		found := b[i]
		if found.contains(low) {
			return found.zoneIndex
		}
		if found.outerBits == 0 {
			return 0
		}
		i = b.find(found.start&lowMask(found.outerBits), found.outerBits)
	}
	return 0
}

// lastAtOrBefore returns the position of the last block that starts at or before
// low, or -1. It is a binary search without sort.Search, for speed.
func (b bucket) lastAtOrBefore(low uint16) int {
	lo, hi := 0, len(b)
	for lo < hi {
		mid := (lo + hi) / 2
		if b[mid].start > low {
			hi = mid
			continue
		}
		lo = mid + 1
	}
	return lo - 1
}

// find returns the position of the block with this start and prefix length, or
// -1.
func (b bucket) find(start uint16, bits uint8) int {
	i := sort.Search(len(b), func(i int) bool {
		if b[i].start != start {
			return b[i].start > start
		}
		return b[i].bits >= bits
	})
	if i == len(b) || b[i].start != start || b[i].bits != bits {
		return -1
	}
	return i
}

// merge returns a new bucket with the edits applied, which must be sorted by
// compareEdits.
func (b bucket) merge(edits []bucketEdit) bucket {
	merged := make(bucket, 0, len(b)+len(edits))
	for i, e := range edits {
		if i+1 < len(edits) && edits[i+1].addr == e.addr && edits[i+1].bits == e.bits {
			continue // overridden by the next edit
		}
		added := block{start: uint16(e.addr), zoneIndex: e.zoneIndex, bits: e.bits}
		for len(b) > 0 && b[0].less(added) {
			merged = append(merged, b[0])
			b = b[1:]
		}
		if len(b) > 0 && b[0].start == added.start && b[0].bits == added.bits {
			b = b[1:]
		}
		if added.zoneIndex != 0 {
			merged = append(merged, added)
		}
	}
	merged = append(merged, b...)
	if len(merged) == 0 {
		return nil
	}
	merged.setOuterBits()
	return append(make(bucket, 0, len(merged)), merged...)
}

func (b block) less(other block) bool {
	if b.start != other.start {
		return b.start < other.start
	}
	return b.bits < other.bits
}

// setOuterBits sets outerBits of every block.
func (b bucket) setOuterBits() {
	var enclosing []block
	for i := range b {
		for len(enclosing) > 0 && !enclosing[len(enclosing)-1].contains(b[i].start) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		b[i].outerBits = 0
		if len(enclosing) > 0 {
			b[i].outerBits = enclosing[len(enclosing)-1].bits
		}
		enclosing = append(enclosing, b[i])
	}
}
