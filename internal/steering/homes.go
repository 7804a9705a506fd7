package steering

import (
	"cmp"
	"math"
	"slices"

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
	type scored struct {
		u     *upstream
		score float64
	}
	near := c.nearPart(kind, usable)
	list := make([]scored, len(usable))
	for i, u := range usable {
		list[i] = scored{u, rendezvous(object, u.ID, c.weight(kind, u, near))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	homes := make([]*upstream, 0, homesOfObject)
	for _, l := range list {
		// A zone with little room must not hold both homes of most of its uploads.
		crowded := kind == work.Upload && len(homes) > 0 && l.u.Place.Zone == homes[0].Place.Zone
		if len(homes) < homesOfObject && !crowded {
			homes = append(homes, l.u)
		}
	}
	if len(homes) < homesOfObject && len(list) > 1 {
		homes = append(homes, list[1].u)
	}
	return homes
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
func rendezvous(object, upstream string, weight float64) float64 {
	return -math.Log1p(-rank(object, upstream)) / weight
}
