package upstream

import (
	"time"

	"sycamoreledge.example/internal/lab/firm"
)

// Times draws the service times of one upstream, the same as its stand-in
// does for the same seed, name and order of the calls.
type Times struct{ t *times }

// NewTimes returns the times of a warm upstream of a service.
func NewTimes(name, service string, seed uint64, w *firm.World, start time.Time) *Times {
	t := newTimes(name, seed, w.ServiceTimeOf(service), w.Neighbours, start)
	t.served = t.service.ColdRequests
	return &Times{t}
}

// Next returns the service time of the next request without its transfer.
func (t *Times) Next(now time.Time) time.Duration { return t.t.next(now) }

// Transfer is how long a body of n bytes takes.
func (t *Times) Transfer(n int) time.Duration {
	if t.t.service.TransferRate <= 0 {
		return 0
	}
	return transferTime(n, t.t.service.TransferRate)
}

// Factor is by how much requests take longer at the time: slowed neighbours
// and a cold start, without stragglers.
func (t *Times) Factor(now time.Time) float64 {
	factor := t.t.neighbourFactor(now)
	if t.t.served < t.t.service.ColdRequests {
		factor *= t.t.service.ColdFactor
	}
	return factor
}

// Restart makes the upstream cold.
func (t *Times) Restart() { t.t.restart() }
