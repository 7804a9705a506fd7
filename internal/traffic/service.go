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

// tier orders pools by how far they are.
type tier uint8

const (
	ownZone tier = iota
	ownRegion
	otherRegion
)

// route is a pool as seen from this instance.
type route struct {
	pool   work.PoolID
	name   string // of the pool
	region string
	tier   tier
	// roundTrip is the declared latency to the pool's region and back; 0 within
	// the region.
	roundTrip time.Duration
	// full is until when the pool is taken to have no free slot, in Unix
	// nanoseconds: it refused a moment ago.
	full atomic.Int64
	// wait is what the last refusal expected, in nanoseconds.
	wait atomic.Int64
	// open is set while the pool takes what it is sent; until then one request at
	// a time is sent there, which asking marks.
	open   atomic.Bool
	asking atomic.Bool
	// refusals counts the refusals since the pool last ran a request.
	refusals atomic.Int64
}

const (
	// fullPause is how long a pool that refused is not asked for a free slot. A
	// pool of another region is left alone for a round trip, and for twice as
	// long after each further refusal.
	fullPause    = 5 * time.Millisecond
	maxFullPause = 2 * time.Second
	maxDoublings = 5
)

// refused notes that the pool has no free slot.
func (r *route) refused(now time.Time, wait time.Duration) {
	r.wait.Store(int64(wait))
	r.open.Store(false)
	pause := fullPause
	if r.tier == otherRegion {
		n := min(r.refusals.Add(1)-1, maxDoublings)
		pause = min(max(r.roundTrip, fullPause)<<n, maxFullPause)
	}
	r.full.Store(now.Add(pause).UnixNano())
}

// ran notes that the pool ran a request.
func (r *route) ran() {
	r.open.Store(true)
	if r.refusals.Load() != 0 {
		r.refusals.Store(0)
	}
}

// service is the static order of the pools of a service, nearest first.
type service struct {
	kind   work.Kind
	routes []*route

	mu      sync.Mutex
	retries float64
}

func newService(declared *settings.Service, topology *settings.Topology, zone string) *service {
	s := &service{kind: declared.Kind}
	own := topology.RegionOf(zone)
	for _, pool := range declared.Pools {
		r := &route{
			pool:   work.PoolID{Service: declared.Name, Zone: pool.Zone},
			region: topology.RegionOf(pool.Zone),
		}
		r.name = r.pool.String()
		switch {
		case pool.Zone == zone:
			r.tier = ownZone
		case r.region == own:
			r.tier = ownRegion
		default:
			r.tier = otherRegion
			if l := topology.Link(own, r.region); l != nil {
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

// retryBurst is the largest number of retries in a row.
const retryBurst = 5

// earn adds the fraction of a retry for one request.
func (s *service) earn(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries = min(s.retries+fraction, retryBurst)
}

// spend takes one retry, if there is one.
func (s *service) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retries < 1 {
		return false
	}
	s.retries--
	return true
}
