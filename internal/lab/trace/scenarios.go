package trace

import (
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Names of the phases. Measures compare phases by these names.
const (
	Steady  = "steady"
	Without = "without"
	Beside  = "beside"
	Slowed  = "slowed"
	Excess  = "excess"
	After   = "after"
	Ramp    = "ramp"
	Shifted = "shifted"
	Drained = "drained"
)

// Names of the traces.
const (
	Ordinary    = "ordinary"
	Peak        = "peak"
	Maintenance = "maintenance"
	Shift       = "shift"
	Neighbours  = "neighbours"
	Uploads     = "uploads"
)

// regionOut is the preset that drains the last region.
const regionOut = "region-out"

// Sizes of uploads in bytes.
const (
	shortMin = 64 << 10
	shortMax = 512 << 10
	longMin  = 1 << 20
	longMax  = 4 << 20
)

// Loads of the scenarios as fractions of the slots.
const (
	target  = 0.7
	orders  = 0.35
	uploads = 0.15
	long    = 0.4
	excess  = 1.5
	light   = 0.3
)

// What slowed neighbours do to upstreams.
const (
	slowedUpstreams = 2
	slowFactor      = 5
	lagSeconds      = 3
)

// Scenarios returns what the committed traces of a firm are recorded from.
func Scenarios(f *firm.Firm) []Scenario {
	lookups := serviceOf(f, work.Lookup)
	return []Scenario{
		{Name: Ordinary, Preset: Ordinary, Segments: []Segment{segment(Steady, 10, target, orders, uploads)}},
		{Name: Peak, Preset: Peak, Segments: []Segment{
			segment(Steady, 4, target, light, 0.05),
			segment(Excess, 6, excess, light, 0.05),
			segment(After, 4, target, light, 0.05),
		}},
		{Name: Neighbours, Preset: Ordinary, Segments: []Segment{
			segment(Without, 8, target, light, 0),
			segment(Slowed, 8, target, light, 0),
		}, Events: slowNeighbours(lookups, 8*time.Second)},
		{Name: Uploads, Preset: Ordinary, Segments: []Segment{
			segment(Without, 8, target, light, 0),
			longSegment(Beside, 8, target, light, long),
		}, Events: leaveUploads(f)},
		{Name: Maintenance, Preset: Ordinary, Segments: []Segment{
			segment(Steady, 4, light, light, 0.05),
			segment(Drained, 10, light, light, 0.05),
		}, Events: maintain(f, 4*time.Second)},
		{Name: Shift, Preset: Ordinary, Segments: []Segment{
			segment(Steady, 4, light, light, 0.05),
			segment(Ramp, 6, light, light, 0.05),
			segment(Shifted, 6, light, light, 0.05),
		}, Events: shiftRegion(f, 4*time.Second)},
	}
}

// segment is a phase of some seconds with short uploads.
func segment(phase string, seconds int, lookups, orders, uploads float64) Segment {
	return Segment{
		Phase:     phase,
		For:       time.Duration(seconds) * time.Second,
		Shares:    caller.Shares{work.Lookup: lookups, work.Order: orders, work.Upload: uploads},
		UploadMin: shortMin,
		UploadMax: shortMax,
	}
}

// longSegment is a phase with long uploads.
func longSegment(phase string, seconds int, lookups, orders, uploads float64) Segment {
	s := segment(phase, seconds, lookups, orders, uploads)
	s.UploadMin, s.UploadMax = longMin, longMax
	return s
}

// serviceOf returns the service of a kind.
func serviceOf(f *firm.Firm, kind work.Kind) *settings.Service {
	for i := range f.Topology.Services {
		if f.Topology.Services[i].Kind == kind {
			return &f.Topology.Services[i]
		}
	}
	return &settings.Service{}
}

// slowNeighbours slows the first upstreams of a service from a time on and
// lets all its load reports be late from the start.
func slowNeighbours(s *settings.Service, from time.Duration) []Event {
	var events []Event
	slowed := 0
	for _, pool := range s.Pools {
		for _, u := range pool.Upstreams {
			events = append(events, Event{Action: Lag, Name: u.Name, Factor: lagSeconds})
		}
	}
	for _, pool := range s.Pools {
		if slowed < slowedUpstreams {
			events = append(events, Event{At: from, Action: Slow, Name: pool.Upstreams[0].Name, Factor: slowFactor})
			slowed++
		}
	}
	return events
}

// leaveUploads lets the upload upstreams of the second region stop, so that its
// uploads fill the links to the others.
func leaveUploads(f *firm.Firm) []Event {
	var events []Event
	for _, pool := range serviceOf(f, work.Upload).Pools {
		if firm.RegionOf(&f.Topology, pool.Zone) != f.Topology.Regions[1].Name {
			continue
		}
		for _, u := range pool.Upstreams {
			events = append(events, Event{Action: Leave, Name: u.Name})
		}
	}
	return events
}

// maintain puts the maintenance preset in force, drains an upstream and stops
// an instance of a zone with two.
func maintain(f *firm.Firm, from time.Duration) []Event {
	u := serviceOf(f, work.Lookup).Pools[0].Upstreams[0].Name
	events := []Event{
		{At: from, Action: Use, Name: Maintenance},
		{At: from + time.Second, Action: DrainUpstream, Name: u},
	}
	for _, region := range f.Topology.Regions {
		for _, zone := range region.Zones {
			if len(zone.Instances) > 1 {
				return append(events, Event{At: from + 2*time.Second, Action: Stop, Name: zone.Instances[0].Name})
			}
		}
	}
	return events
}

// shiftRegion takes out the last region and makes the lookup upstreams of the
// others cold.
func shiftRegion(f *firm.Firm, from time.Duration) []Event {
	last := f.Topology.Regions[len(f.Topology.Regions)-1]
	var events []Event
	for _, pool := range serviceOf(f, work.Lookup).Pools {
		if firm.RegionOf(&f.Topology, pool.Zone) == last.Name {
			continue
		}
		for _, u := range pool.Upstreams {
			events = append(events, Event{At: from, Action: Restart, Name: u.Name})
		}
	}
	return append(events, Event{At: from, Action: Use, Name: regionOut})
}

// WarmUpName names the trace that is sent before the others.
const WarmUpName = "warm-up"

// WarmUp is load that makes all upstreams warm.
func WarmUp() Scenario {
	return Scenario{Name: WarmUpName, Preset: Ordinary, Segments: []Segment{segment(Steady, 6, light, target, light)}}
}
