package steering

import "time"

const (
	// coldBurst is the token bucket burst of a cold upstream, in requests.
	coldBurst = 1
	// coldRateFraction is the fraction of a cold upstream's rate that its warm-up
	// sender uses, so that two instances that both consider themselves the sender stay
	// within the bound.
	coldRateFraction = 0.8
	// defaultColdRate is the rate for services that configure none, in requests per
	// second.
	defaultColdRate = 2
)

// coldRate returns the rate at which this instance may send requests to a cold
// upstream, per second.
func (c *Core) coldRate(u *upstream) float64 {
	rate := c.configuredColdRate(u)
	if rate <= 0 {
		rate = defaultColdRate
	}
	return coldRateFraction * rate
}

// configuredColdRate returns the configured request rate of a cold upstream per
// second, or a value not above 0 where none is configured.
func (c *Core) configuredColdRate(u *upstream) float64 {
	if c.table == nil {
		return 0
	}
	return c.table.Services[u.Service].ColdRate
}

// isWarmUpSender reports whether this instance is the one that sends requests to a
// cold upstream: the member with the highest rendezvous hash among those nearest
// to the upstream (same zone, else same region).
func (c *Core) isWarmUpSender(u *upstream) bool {
	best, bestScore := "", -1.0
	for _, m := range c.members {
		score := rank(hashKey(m.Name), u.key)
		if m.Place.Zone == u.Place.Zone {
			score += 2
		} else if m.Place.Region == u.Place.Region {
			score++
		}
		if score > bestScore {
			best, bestScore = m.Name, score
		}
	}
	return best == c.config.Instance
}

// isolatedLimit returns the rate per second and the burst of requests that this
// instance may send to an upstream while it is isolated and does not learn which
// upstreams are cold: its share of what all instances together may send to a cold
// upstream. It reports false where there is no such limit.
func (c *Core) isolatedLimit(u *upstream) (rate, burst float64, bounded bool) {
	b := c.config.Bounds
	if !c.isolated || b.ColdRatio <= 0 {
		return 0, 0, false
	}
	cold := c.configuredColdRate(u)
	share := coldRateFraction / float64(len(c.members))
	return share * cold * b.ColdRatio, max(share*b.ColdSlack, 1), cold > 0
}

// exceedsIsolatedLimit reports whether one more request to the upstream would exceed
// the isolated limit.
func (c *Core) exceedsIsolatedLimit(now time.Time, u *upstream) bool {
	rate, burst, bounded := c.isolatedLimit(u)
	return bounded && u.isolatedLimit.Wait(now, 1, rate, burst) > 0
}

// chargeIsolatedLimit counts a request against the isolated limit of an upstream.
func (c *Core) chargeIsolatedLimit(now time.Time, u *upstream) {
	if rate, burst, bounded := c.isolatedLimit(u); bounded {
		u.isolatedLimit.Take(now, 1, rate, burst)
	}
}
