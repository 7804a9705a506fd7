package locate

import "sort"

// block is one address block within a /16. Its size is 6 bytes.
type block struct {
	start uint16
	zone  uint16
	bits  uint8
	// outer is the length of the longest block of the bucket that encloses
	// this one, or 0.
	outer uint8
}

// bucket holds the blocks of one /16, sorted by start and then by length.
type bucket []block

// mask returns the bits of a low half that a prefix length leaves.
func mask(bits uint8) uint16 {
	return uint16(^uint32(0) << (addr4Bits - uint(bits)))
}

func (b block) contains(low uint16) bool { return low&mask(b.bits) == b.start }

// lookup returns the zone index of the longest block that contains the low
// half of an address, or 0.
//
// The last block that starts at or before the address either contains it, and
// is then the longest that does, or lies within all blocks that do.
func (b bucket) lookup(low uint16) uint16 {
	i := b.last(low)
	for i >= 0 {
		found := b[i]
		if found.contains(low) {
			return found.zone
		}
		if found.outer == 0 {
			return 0
		}
		i = b.find(found.start&mask(found.outer), found.outer)
	}
	return 0
}

// last returns the position of the last block that starts at or before the low
// half of an address, or -1. It is written out for speed.
func (b bucket) last(low uint16) int {
	from, to := 0, len(b)
	for from < to {
		middle := (from + to) / 2
		if b[middle].start > low {
			to = middle
			continue
		}
		from = middle + 1
	}
	return from - 1
}

// find returns the position of a block, or -1.
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

// merge returns a new bucket with the sorted edits.
func (b bucket) merge(edits []edit) bucket {
	merged := make(bucket, 0, len(b)+len(edits))
	for i, e := range edits {
		if i+1 < len(edits) && edits[i+1].addr == e.addr && edits[i+1].bits == e.bits {
			continue // overridden by the next
		}
		fresh := block{start: uint16(e.addr), zone: e.zone, bits: e.bits}
		for len(b) > 0 && b[0].before(fresh) {
			merged = append(merged, b[0])
			b = b[1:]
		}
		if len(b) > 0 && b[0].start == fresh.start && b[0].bits == fresh.bits {
			b = b[1:]
		}
		if fresh.zone != 0 {
			merged = append(merged, fresh)
		}
	}
	merged = append(merged, b...)
	if len(merged) == 0 {
		return nil
	}
	merged.setOuter()
	return append(make(bucket, 0, len(merged)), merged...)
}

func (b block) before(other block) bool {
	if b.start != other.start {
		return b.start < other.start
	}
	return b.bits < other.bits
}

// setOuter finds the enclosing block of each.
func (b bucket) setOuter() {
	var open []block
	for i := range b {
		for len(open) > 0 && !open[len(open)-1].contains(b[i].start) {
			open = open[:len(open)-1]
		}
		b[i].outer = 0
		if len(open) > 0 {
			b[i].outer = open[len(open)-1].bits
		}
		open = append(open, b[i])
	}
}
