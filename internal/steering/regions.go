package steering

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the time constants over which the region shares
	// are averaged: one well below and one above the 2 s window of the shift bound.
	shortWindow = 700 * time.Millisecond
	longWindow  = 3 * time.Second
	// minSamples is the minimum number of recent requests from which a region's share
	// is computed. With 15 its standard error is 0.13; with fewer, sampling errors
	// make instances prefer different upstreams for the same object.
	minSamples = 15
	// shiftBoundFraction is the fraction of the shift bound by which a region's share
	// may grow before the object's other preferred upstream is favored.
	shiftBoundFraction = 0.5
	// shiftPenaltyTargets is the cost added to such a region, in targets of the route.
	shiftPenaltyTargets = 1.0
)

// regionShares counts this instance's requests by region, with exponential decay.
type regionShares struct {
	updated time.Time
	short   map[string]float64
	long    map[string]float64
}

// record counts a request that is sent to a region.
func (r *regionShares) record(now time.Time, region string) {
	if r.short == nil {
		r.short, r.long = make(map[string]float64), make(map[string]float64)
	}
	elapsed := max(now.Sub(r.updated), 0)
	for name := range r.short {
		r.short[name] *= math.Exp(-float64(elapsed) / float64(shortWindow))
		r.long[name] *= math.Exp(-float64(elapsed) / float64(longWindow))
	}
	r.updated = now
	r.short[region]++
	r.long[region]++
}

// growth returns the recent growth of a region's share of the requests, or 0 while
// there are too few samples.
func (r *regionShares) growth(region string) float64 {
	short, long := sum(r.short), sum(r.long)
	if short < minSamples || long < minSamples {
		return 0
	}
	return r.short[region]/short - r.long[region]/long
}

func sum(counts map[string]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// shiftPenalty returns a cost that keeps traffic from shifting between regions
// faster than the bound: where an object's preferred upstreams are in two regions,
// the other region is favored.
func (c *Core) shiftPenalty(region string, target time.Duration) time.Duration {
	if c.config.Bounds.MaxShift <= 0 || c.regions.growth(region) <= shiftBoundFraction*c.config.Bounds.MaxShift {
		return 0
	}
	return scale(target, shiftPenaltyTargets)
}
