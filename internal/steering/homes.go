package steering

import (
	"math"

	"sycamoreledge.example/internal/work"
)

const (
	// homesOfObject is how many upstreams an object keeps to. Upstreams remember
	// some dozens of objects: the fewer homes, the more work is done from memory.
	// The second one takes what the first has no room for.
	homesOfObject = 2
	// regionWeight prefers upstreams in the instance's own region, whose answers are
	// near. It is the same for all its zones, so that their callers, who ask for the
	// same objects, share the homes.
	regionWeight = 3
	// uploadWeight prefers those in its own zone for uploads: a body is some
	// twenty times as long as the answer to a lookup, and bytes between zones cost.
	uploadWeight = 32
)

// homes returns the upstreams that an object keeps to, of those that may be
// used, the first one first. Instances of a region choose alike, but for uploads,
// and a change of the list moves only the objects of the upstreams that came or
// went.
func (c *Core) homes(object string, kind work.Kind, usable []*upstream) []*upstream {
	if len(usable) < homesOfObject {
		return usable
	}
	near := c.nearPart(kind, usable)
	key, scores := keyOf(object), make([]float64, len(usable))
	for i, u := range usable {
		scores[i] = rendezvous(key, u.key, c.weight(kind, u, near))
	}
	first := least(scores, func(int) bool { return true })
	second := least(scores, func(i int) bool {
		// A zone with little room must not hold both homes of most of its uploads.
		return i != first && (kind != work.Upload || usable[i].Place.Zone != usable[first].Place.Zone)
	})
	if second < 0 {
		second = least(scores, func(i int) bool { return i != first })
	}
	return []*upstream{usable[first], usable[second]}
}

// least returns the index of the least score among those that are eligible, or -1.
func least(scores []float64, eligible func(i int) bool) int {
	best := -1
	for i, score := range scores {
		if eligible(i) && (best < 0 || score < scores[best]) {
			best = i
		}
	}
	return best
}

// weight is the part of the objects that an upstream should get. Those of the
// instance's own region get near times what distance alone would give them.
func (c *Core) weight(kind work.Kind, u *upstream, near float64) float64 {
	weight := float64(u.Slots)
	switch {
	case u.Place.Region != c.config.Place.Region:
		return weight
	case u.Place.Zone == c.config.Place.Zone && kind == work.Upload:
		return weight * uploadWeight * near
	default:
		return weight * regionWeight * near
	}
}

// nearPart keeps a region with little room from getting more objects than it has
// room for: once it is full, their requests would move to other regions all at
// the same moment. It is 1 where the region has its share of all slots.
func (c *Core) nearPart(kind work.Kind, usable []*upstream) float64 {
	var own, weighted, others, members float64
	for _, u := range usable {
		if u.Place.Region == c.config.Place.Region {
			own += float64(u.Slots)
			weighted += c.weight(kind, u, 1)
		} else {
			others += float64(u.Slots)
		}
	}
	for _, m := range c.members {
		if m.Place.Region == c.config.Place.Region {
			members++
		}
	}
	// Callers are taken to be spread like instances.
	room := own / (own + others) * float64(len(c.members)) / members
	if own == 0 || room >= 1 {
		return 1
	}
	// The nearest of an object's homes is preferred, so the part of the objects
	// with at least one home in the region must not exceed its room.
	first := 1 - math.Pow(1-room, 1.0/homesOfObject)
	return min(1, first/(1-first)*others/weighted)
}

// rendezvous is a score by which the least wins; each upstream wins a part of
// all objects that is proportional to its weight.
func rendezvous(object, upstream uint64, weight float64) float64 {
	return -math.Log1p(-rank(object, upstream)) / weight
}
