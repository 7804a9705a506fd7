package traffic

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// tier classifies pools by distance, nearest first.
type tier uint8

const (
	ownZone tier = iota
	ownRegion
	otherRegion
)

// route is a pool as seen from this instance.
type route struct {
	pool   work.PoolID
	name   string // pool.String()
	region string
	tier   tier
	// roundTrip is twice the declared one-way latency to the pool's region; 0
	// within the region.
	roundTrip time.Duration
	// fullUntil is the time, in Unix nanoseconds, until which the pool is assumed
	// to have no free slot because of a recent refusal.
	fullUntil atomic.Int64
	// lastWait is the expected wait that the last refusal gave, in nanoseconds.
	lastWait atomic.Int64
	// accepting is set while the pool runs the requests sent to it. While it is
	// clear, a pool of another region gets one trial request at a time, and
	// trialInFlight is set meanwhile.
	accepting     atomic.Bool
	trialInFlight atomic.Bool
	// refusals counts the refusals since the pool last ran a request.
	refusals atomic.Int64
}

const (
	// minFullBackoff is how long a pool of this region that refused for lack of
	// slots is assumed to be full. For a pool of another region the backoff starts
	// at one round trip and doubles with each further refusal, at most
	// maxBackoffDoublings times and up to maxFullBackoff.
	minFullBackoff      = 5 * time.Millisecond
	maxFullBackoff      = 2 * time.Second
	maxBackoffDoublings = 5
)

// recordRefusal records that the pool has no free slot.
func (r *route) recordRefusal(now time.Time, wait time.Duration) {
	r.lastWait.Store(int64(wait))
	r.accepting.Store(false)
	backoff := minFullBackoff
	if r.tier == otherRegion {
		n := min(r.refusals.Add(1)-1, maxBackoffDoublings)
		backoff = min(max(r.roundTrip, minFullBackoff)<<n, maxFullBackoff)
	}
	r.fullUntil.Store(now.Add(backoff).UnixNano())
}

// recordRun records that the pool ran a request.
func (r *route) recordRun() {
	r.accepting.Store(true)
	if r.refusals.Load() != 0 {
		r.refusals.Store(0)
	}
}

// service holds the pools of a service in a fixed order, nearest first, and its
// retry budget.
type service struct {
	kind   work.Kind
	routes []*route

	mu          sync.Mutex
	retryTokens float64
}

func newService(declared *settings.Service, topology *settings.Topology, zone string) *service {
	s := &service{kind: declared.Kind}
	localRegion := topology.RegionOf(zone)
	for _, pool := range declared.Pools {
		r := &route{
			pool:   work.PoolID{Service: declared.Name, Zone: pool.Zone},
			region: topology.RegionOf(pool.Zone),
		}
		r.name = r.pool.String()
		switch {
		case pool.Zone == zone:
			r.tier = ownZone
		case r.region == localRegion:
			r.tier = ownRegion
		default:
			r.tier = otherRegion
			if l := topology.Link(localRegion, r.region); l != nil {
				r.roundTrip = 2 * l.OneWay()
			}
		}
		s.routes = append(s.routes, r)
	}
	slices.SortStableFunc(s.routes, func(a, b *route) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.roundTrip, b.roundTrip))
	})
	return s
}

// maxRetryTokens is the capacity of the retry budget, and so the largest burst of
// retries.
const maxRetryTokens = 5

// earnRetry adds a fraction of a retry token for one request.
func (s *service) earnRetry(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryTokens = min(s.retryTokens+fraction, maxRetryTokens)
}

// spendRetry takes one retry token, and reports whether there was one.
func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	return true
}
