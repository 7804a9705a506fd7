package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoreledge.example/internal/lab/firm"
)

// times draws service times of one upstream. What it draws depends only on
// the seed, the name and the order of the calls.
type times struct {
	service    firm.ServiceTime
	neighbours firm.Neighbours
	seed       uint64
	started    time.Time
	random     *rand.Rand
	served     int
}

// newTimes returns a generator that starts cold.
func newTimes(name string, seed uint64, s firm.ServiceTime, n firm.Neighbours, now time.Time) *times {
	seed ^= xxhash.Sum64String(name)
	return &times{
		service:    s,
		neighbours: n,
		seed:       seed,
		started:    now,
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// next returns the service time of the next request.
func (t *times) next(now time.Time) time.Duration {
	d := float64(t.service.ServiceTime) * (0.5 + 0.5*t.random.ExpFloat64())
	if t.random.Float64() < t.service.StragglerShare {
		d *= t.service.StragglerFactor
	}
	if t.served < t.service.ColdRequests {
		d *= t.service.ColdFactor
	}
	t.served++
	return time.Duration(d * t.neighbourFactor(now))
}

// neighbourFactor is above 1 in periods that the seed selects.
func (t *times) neighbourFactor(now time.Time) float64 {
	n := t.neighbours
	if n.Interval <= 0 || n.Duration <= 0 {
		return 1
	}
	period := uint64(now.Sub(t.started) / n.Duration)
	draw := rand.New(rand.NewPCG(t.seed, period)).Float64()
	if draw < float64(n.Duration)/float64(n.Interval) {
		return n.Factor
	}
	return 1
}

// restart makes the upstream cold again.
func (t *times) restart() { t.served = 0 }
