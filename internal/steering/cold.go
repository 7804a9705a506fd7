package steering

import "time"

const (
	// coldBurst is how many requests a cold upstream may get at once.
	coldBurst = 1
	// coldPart is the part of its rate that a cold upstream gets from the one
	// instance that warms it up, so that two that both believe to be that one stay
	// within the bound.
	coldPart = 0.8
	// coldRateGuess is the rate for services that state none, per second.
	coldRateGuess = 2
)

// coldRate is the rate of requests that this instance may send to a cold upstream.
func (c *Core) coldRate(u *upstream) float64 {
	rate := c.statedColdRate(u)
	if rate <= 0 {
		rate = coldRateGuess
	}
	return coldPart * rate
}

// statedColdRate is what the configuration says a cold upstream bears, or not above
// 0 where it says nothing.
func (c *Core) statedColdRate(u *upstream) float64 {
	if c.table == nil {
		return 0
	}
	return c.table.Services[u.Service].ColdRate
}

// warmsUp reports whether this instance is the one that sends requests to a cold
// upstream: the first by rank among the members nearest to it.
func (c *Core) warmsUp(u *upstream) bool {
	best, bestKey := "", -1.0
	for _, m := range c.members {
		key := rank(keyOf(m.Name), u.key)
		if m.Place.Zone == u.Place.Zone {
			key += 2
		} else if m.Place.Region == u.Place.Region {
			key++
		}
		if key > bestKey {
			best, bestKey = m.Name, key
		}
	}
	return best == c.config.Instance
}

// unseenRate returns the rate and the burst of requests that this instance may send,
// while it is isolated, to an upstream that may have become cold unseen: its share
// of what all instances together may send to a cold one. It reports false where
// there is no such bound.
func (c *Core) unseenRate(u *upstream) (rate, burst float64, bounded bool) {
	b := c.config.Bounds
	if !c.isolated || b.ColdRatio <= 0 {
		return 0, 0, false
	}
	cold := c.statedColdRate(u)
	share := coldPart / float64(len(c.members))
	return share * cold * b.ColdRatio, max(share*b.ColdSlack, 1), cold > 0
}

// isFullUnseen reports whether the upstream has had as many requests of late as one
// may get that became cold unseen.
func (c *Core) isFullUnseen(now time.Time, u *upstream) bool {
	rate, burst, bounded := c.unseenRate(u)
	return bounded && u.unseen.Wait(now, 1, rate, burst) > 0
}

// noteUnseen books a request to an upstream.
func (c *Core) noteUnseen(now time.Time, u *upstream) {
	if rate, burst, bounded := c.unseenRate(u); bounded {
		u.unseen.Take(now, 1, rate, burst)
	}
}
