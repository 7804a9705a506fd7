package traffic

import (
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/limit"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// shiftKey identifies the traffic of a service to a region or from an instance.
type shiftKey struct {
	service string
	remote  string
}

// outboundShifts limits what this instance sends to each other region to its share
// of the shift cap.
type outboundShifts struct {
	instances int // number of declared instances in this region
	notify    func(Event)

	mu    sync.Mutex
	byKey map[shiftKey]*outboundShift // remote is the destination region
}

// outboundShift is the limiter and the tracker of one shift.
type outboundShift struct {
	limit   limit.Shift
	tracker *shiftTracker
}

// noShiftRetryAfter is the Retry-After when the shift cap is 0: a changed preset
// takes effect within about a second.
const noShiftRetryAfter = time.Second

func newOutboundShifts(topology *settings.Topology, region string, notify func(Event)) *outboundShifts {
	return &outboundShifts{
		instances: max(topology.InstancesOfRegion(region), 1),
		notify:    notify,
		byKey:     make(map[shiftKey]*outboundShift),
	}
}

// allow reports whether one more request of the service may go to the region.
func (s *outboundShifts) allow(now time.Time, policy *settings.ServicePolicy, region string) bool {
	s.mu.Lock()
	key := shiftKey{policy.Name, region}
	shift := s.byKey[key]
	if shift == nil {
		shift = &outboundShift{tracker: &shiftTracker{key: key, notify: s.notify}}
		s.byKey[key] = shift
	}
	allowed := shift.limit.Allow(now, policy.ShiftRate/float64(s.instances), policy.ShiftRamp)
	s.mu.Unlock()
	shift.tracker.observe(now, allowed)
	return allowed
}

// inboundBurstFactor is the receiver's burst as a multiple of the sender's, so
// that jitter in the travel time alone causes no refusals.
const inboundBurstFactor = 2

// inboundLimiter limits each sender in another region to its share of the shift
// cap, in case the sender has a different preset or is faulty.
type inboundLimiter struct {
	region      string
	regionOf    map[string]string // region of each zone
	instancesOf map[string]int    // number of declared instances in each region

	mu      sync.Mutex
	buckets map[shiftKey]*limit.Bucket // remote is the sending instance
}

func newInboundLimiter(topology *settings.Topology, region string) *inboundLimiter {
	in := &inboundLimiter{
		region:      region,
		regionOf:    make(map[string]string),
		instancesOf: make(map[string]int),
		buckets:     make(map[shiftKey]*limit.Bucket),
	}
	for r, z := range topology.Zones() {
		in.regionOf[z.Name] = r.Name
		in.instancesOf[r.Name] += len(z.Instances)
	}
	return in
}

// admit returns the refusal of a request that exceeds its sender's share, or nil.
// req.Origin must be the sender's zone.
func (in *inboundLimiter) admit(snap *control.Snapshot, req *work.Request) *work.Response {
	from := in.regionOf[req.Origin]
	if from == in.region {
		return nil
	}
	policy := snap.Preset.Service(req.Pool.Service)
	if policy == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	rate := policy.ShiftRate / float64(max(in.instancesOf[from], 1))
	if rate <= 0 {
		return work.Refuse(work.ReasonShiftCap, noShiftRetryAfter)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	key := shiftKey{req.Pool.Service, req.Sender}
	b := in.buckets[key]
	if b == nil {
		b = &limit.Bucket{}
		in.buckets[key] = b
	}
	now := time.Now()
	burst := inboundBurstFactor * limit.ShiftBurst(rate)
	if !b.Take(now, 1, rate, burst) {
		return work.Refuse(work.ReasonShiftCap, b.Wait(now, 1, rate, burst))
	}
	return nil
}
