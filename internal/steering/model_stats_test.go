package steering_test

import (
	"math"
	"time"
)

// outcome counts of requests, by zone of the caller.
type tally struct{ asked, inTarget, late, refused, failed int }

type stats struct {
	zones map[string]*tally
	// heldRefused is the longest time until a refusal.
	heldRefused time.Duration
}

func (s *stats) all() tally {
	var sum tally
	for _, z := range s.zones {
		sum.asked += z.asked
		sum.inTarget += z.inTarget
		sum.late += z.late
		sum.refused += z.refused
		sum.failed += z.failed
	}
	return sum
}

// credit is what users got of what they asked for; a late answer is worth a
// fifth of one in time.
func (t tally) credit() float64 {
	return (float64(t.inTarget) + 0.2*float64(t.late)) / math.Max(float64(t.asked), 1)
}
