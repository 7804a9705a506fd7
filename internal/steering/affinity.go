package steering

import (
	"math"

	"sycamoreledge.example/internal/work"
)

const (
	// upstreamsPerObject is the number of preferred upstreams of an object. An upstream
	// caches some dozens of objects, so fewer preferred upstreams give a higher hit
	// rate. The second one takes the requests that exceed the capacity of the first.
	upstreamsPerObject = 2
	// ownRegionWeight favors upstreams in the instance's own region, where the RTT is
	// low. It is the same for all zones of the region, so that their callers, who
	// request the same objects, share the preferred upstreams.
	ownRegionWeight = 3
	// ownZoneUploadWeight favors upstreams in the instance's own zone for uploads: a
	// body is about twenty times as large as a lookup response, and transfers between
	// zones are charged by the byte.
	ownZoneUploadWeight = 32
)

// preferredUpstreams returns the preferred upstreams of an object among the usable
// ones, in order of preference, by weighted rendezvous hashing. All instances of a
// region get the same result, except for uploads. When upstreams are added or
// removed, only the objects of these upstreams move.
func (c *Core) preferredUpstreams(object string, kind work.Kind, usable []*upstream) []*upstream {
	if len(usable) < upstreamsPerObject {
		return usable
	}
	regionScale := c.ownRegionScale(kind, usable)
	key, scores := hashKey(object), make([]float64, len(usable))
	for i, u := range usable {
		scores[i] = rendezvousScore(key, u.key, c.weight(kind, u, regionScale))
	}
	first := minIndex(scores, func(int) bool { return true })
	second := minIndex(scores, func(i int) bool {
		// Both preferred upstreams of an upload in the same zone would overload a zone
		// with little capacity.
		return i != first && (kind != work.Upload || usable[i].Place.Zone != usable[first].Place.Zone)
	})
	if second < 0 {
		second = minIndex(scores, func(i int) bool { return i != first })
	}
	return []*upstream{usable[first], usable[second]}
}

// minIndex returns the index of the least eligible score, or -1.
func minIndex(scores []float64, eligible func(i int) bool) int {
	best := -1
	for i, score := range scores {
		if eligible(i) && (best < 0 || score < scores[best]) {
			best = i
		}
	}
	return best
}

// weight returns the relative share of the objects that an upstream should get.
// The weights of the instance's own region are multiplied by regionScale.
func (c *Core) weight(kind work.Kind, u *upstream, regionScale float64) float64 {
	weight := float64(u.Slots)
	switch {
	case u.Place.Region != c.config.Place.Region:
		return weight
	case u.Place.Zone == c.config.Place.Zone && kind == work.Upload:
		return weight * ownZoneUploadWeight * regionScale
	default:
		return weight * ownRegionWeight * regionScale
	}
}

// ownRegionScale returns a factor in [0, 1] that keeps a region with little capacity
// from getting more objects than it can serve: once it is full, their requests would
// all move to other regions at the same time. It is 1 where the region's share of
// the slots is at least its share of the instances.
func (c *Core) ownRegionScale(kind work.Kind, usable []*upstream) float64 {
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
	// Callers are assumed to be distributed over the regions like instances.
	capacityRatio := own / (own + others) * float64(len(c.members)) / members
	if own == 0 || capacityRatio >= 1 {
		return 1
	}
	// The nearest preferred upstream of an object gets its requests, so the fraction
	// of objects with at least one preferred upstream in the region must not exceed
	// the region's capacity.
	ownShare := 1 - math.Pow(1-capacityRatio, 1.0/upstreamsPerObject)
	return min(1, ownShare/(1-ownShare)*others/weighted)
}

// rendezvousScore returns the score of an upstream for an object. The upstream with
// the least score is selected; each is selected for a share of the objects that is
// proportional to its weight.
func rendezvousScore(object, upstream uint64, weight float64) float64 {
	return -math.Log1p(-rank(object, upstream)) / weight
}
