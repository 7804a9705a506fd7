package traffic

import (
	"sync"
	"time"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/limit"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// shiftKey names the requests of a service that go to, or come from, one place.
type shiftKey struct {
	service string
	place   string
}

// shifts keeps this instance within its share of the cap of each shift.
type shifts struct {
	declared int // instances of this region
	notify   func(Event)

	mu  sync.Mutex
	all map[shiftKey]*outbound // place is the region sent to
}

// outbound is one shift.
type outbound struct {
	limit limit.Shift
	log   *shiftLog
}

// noShiftWait is when callers may come back to a shift that carries nothing: a
// changed preset is in force within about a second.
const noShiftWait = time.Second

func newShifts(topology *settings.Topology, region string, notify func(Event)) *shifts {
	return &shifts{
		declared: max(topology.InstancesOfRegion(region), 1),
		notify:   notify,
		all:      make(map[shiftKey]*outbound),
	}
}

// allow reports whether one more request of the service may go to the region.
func (s *shifts) allow(now time.Time, policy *settings.ServicePolicy, region string) bool {
	s.mu.Lock()
	key := shiftKey{policy.Name, region}
	shift := s.all[key]
	if shift == nil {
		shift = &outbound{log: &shiftLog{key: key, notify: s.notify}}
		s.all[key] = shift
	}
	allowed := shift.limit.Allow(now, policy.ShiftRate/float64(s.declared), policy.ShiftRamp)
	s.mu.Unlock()
	shift.log.note(now, allowed)
	return allowed
}

// inboundBurst is how much larger than at the sender the burst is at the
// receiver, so that uneven travel times alone cause no refusal.
const inboundBurst = 2

// inbound keeps each sender of another region within its share of the cap, in
// case that it has another preset or is faulty.
type inbound struct {
	region   string
	regionOf map[string]string // of the zones
	declared map[string]int    // instances of the regions

	mu  sync.Mutex
	all map[shiftKey]*limit.Bucket // place is the sending instance
}

func newInbound(topology *settings.Topology, region string) *inbound {
	in := &inbound{
		region:   region,
		regionOf: make(map[string]string),
		declared: make(map[string]int),
		all:      make(map[shiftKey]*limit.Bucket),
	}
	for r, z := range topology.Zones() {
		in.regionOf[z.Name] = r.Name
		in.declared[r.Name] += len(z.Instances)
	}
	return in
}

// admit returns the refusal of a request beyond its sender's share, or nil. Its
// origin is the sender's zone.
func (in *inbound) admit(snap *control.Snapshot, req *work.Request) *work.Response {
	from := in.regionOf[req.Origin]
	if from == in.region {
		return nil
	}
	policy := snap.Preset.Service(req.Pool.Service)
	if policy == nil {
		return work.Refuse(work.ReasonUnknownService, 0)
	}
	rate := policy.ShiftRate / float64(max(in.declared[from], 1))
	if rate <= 0 {
		return work.Refuse(work.ReasonShiftCap, noShiftWait)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	key := shiftKey{req.Pool.Service, req.Sender}
	b := in.all[key]
	if b == nil {
		b = &limit.Bucket{}
		in.all[key] = b
	}
	now := time.Now()
	burst := inboundBurst * limit.ShiftBurst(rate)
	if !b.Take(now, 1, rate, burst) {
		return work.Refuse(work.ReasonShiftCap, b.Wait(now, 1, rate, burst))
	}
	return nil
}
