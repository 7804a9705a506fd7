package steering

import (
	"math"
	"time"
)

const (
	// quickRegions and slowRegions are the times over which the regions of requests
	// are averaged: well below the 2 s between which a shift is bounded, and above.
	quickRegions = 700 * time.Millisecond
	slowRegions  = 3 * time.Second
	// leastCounted is how many requests of late a region's share is known by at least.
	// With 15 its standard error is 0.13; with fewer, instances that each act on
	// their own error choose different homes for an object.
	leastCounted = 15
	// shiftPart is the part of the bound of a shift by which a region's share may
	// run ahead before the other home of an object is preferred.
	shiftPart = 0.5
	// shiftCost is what a region then costs, in targets of a route.
	shiftCost = 1.0
)

// regions is the distribution of this instance's requests over regions.
type regions struct {
	at    time.Time
	quick map[string]float64
	slow  map[string]float64
}

// note counts a request that goes to a region.
func (r *regions) note(now time.Time, region string) {
	if r.quick == nil {
		r.quick, r.slow = make(map[string]float64), make(map[string]float64)
	}
	elapsed := max(now.Sub(r.at), 0)
	for name := range r.quick {
		r.quick[name] *= math.Exp(-float64(elapsed) / float64(quickRegions))
		r.slow[name] *= math.Exp(-float64(elapsed) / float64(slowRegions))
	}
	r.at = now
	r.quick[region]++
	r.slow[region]++
}

// ahead is by how much the share of a region has grown of late.
func (r *regions) ahead(region string) float64 {
	quick, slow := total(r.quick), total(r.slow)
	if quick < leastCounted || slow < leastCounted {
		return 0
	}
	return r.quick[region]/quick - r.slow[region]/slow
}

func total(counts map[string]float64) float64 {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// shiftPenalty keeps the regions in which requests run from changing faster than
// the bound: where an object has homes in two regions, the other one is preferred.
func (c *Core) shiftPenalty(region string, target time.Duration) time.Duration {
	if c.config.Bounds.MaxShift <= 0 || c.regions.ahead(region) <= shiftPart*c.config.Bounds.MaxShift {
		return 0
	}
	return scale(target, shiftCost)
}
