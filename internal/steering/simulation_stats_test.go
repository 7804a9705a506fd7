package steering_test

import (
	"math"
	"time"
)

// outcomeCounts counts the requests of one zone's callers by outcome.
type outcomeCounts struct{ requests, onTime, late, refused, failed int }

type stats struct {
	zones map[string]*outcomeCounts
	// maxRefusalDelay is the longest time from a request's arrival to its refusal.
	maxRefusalDelay time.Duration
}

func (s *stats) total() outcomeCounts {
	var sum outcomeCounts
	for _, z := range s.zones {
		sum.requests += z.requests
		sum.onTime += z.onTime
		sum.late += z.late
		sum.refused += z.refused
		sum.failed += z.failed
	}
	return sum
}

// score is the fraction of requests answered within the target latency; a late
// response counts a fifth.
func (c outcomeCounts) score() float64 {
	return (float64(c.onTime) + 0.2*float64(c.late)) / math.Max(float64(c.requests), 1)
}
