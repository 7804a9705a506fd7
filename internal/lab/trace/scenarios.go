package trace

import (
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Names of the phases. Measurements compare phases by these names.
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
	shortUploadMin = 64 << 10
	shortUploadMax = 512 << 10
	longUploadMin  = 1 << 20
	longUploadMax  = 4 << 20
)

// Loads of the scenarios as fractions of the slots of a kind of work.
const (
	targetLoad     = 0.7
	orderLoad      = 0.35
	uploadLoad     = 0.15
	longUploadLoad = 0.4
	excessLoad     = 1.5
	lightLoad      = 0.3
)

// Parameters of slowNeighbourEvents.
const (
	slowedUpstreams = 2
	slowFactor      = 5
	lagSeconds      = 3
)

// Scenarios returns the scenarios from which the committed traces of a firm are
// generated.
func Scenarios(f *firm.Firm) []Scenario {
	lookups := serviceOf(f, work.Lookup)
	return []Scenario{
		{Name: Ordinary, Preset: Ordinary, Segments: []Segment{segment(Steady, 10, targetLoad, orderLoad, uploadLoad)}},
		{Name: Peak, Preset: Peak, Segments: []Segment{
			segment(Steady, 4, targetLoad, lightLoad, 0.05),
			segment(Excess, 6, excessLoad, lightLoad, 0.05),
			segment(After, 4, targetLoad, lightLoad, 0.05),
		}},
		{Name: Neighbours, Preset: Ordinary, Segments: []Segment{
			segment(Without, 8, targetLoad, lightLoad, 0),
			segment(Slowed, 8, targetLoad, lightLoad, 0),
		}, Events: slowNeighbourEvents(lookups, 8*time.Second)},
		{Name: Uploads, Preset: Ordinary, Segments: []Segment{
			segment(Without, 8, targetLoad, lightLoad, 0),
			longUploadSegment(Beside, 8, targetLoad, lightLoad, longUploadLoad),
		}, Events: leaveUploadUpstreams(f)},
		{Name: Maintenance, Preset: Ordinary, Segments: []Segment{
			segment(Steady, 4, lightLoad, lightLoad, 0.05),
			segment(Drained, 10, lightLoad, lightLoad, 0.05),
		}, Events: maintenanceEvents(f, 4*time.Second)},
		{Name: Shift, Preset: Ordinary, Segments: []Segment{
			segment(Steady, 4, lightLoad, lightLoad, 0.05),
			segment(Ramp, 6, lightLoad, lightLoad, 0.05),
			segment(Shifted, 6, lightLoad, lightLoad, 0.05),
		}, Events: regionShiftEvents(f, 4*time.Second)},
	}
}

// segment returns a phase with short uploads.
func segment(phase string, seconds int, lookups, orders, uploads float64) Segment {
	return Segment{
		Phase:     phase,
		For:       time.Duration(seconds) * time.Second,
		Shares:    caller.Shares{work.Lookup: lookups, work.Order: orders, work.Upload: uploads},
		UploadMin: shortUploadMin,
		UploadMax: shortUploadMax,
	}
}

// longUploadSegment returns a phase with long uploads.
func longUploadSegment(phase string, seconds int, lookups, orders, uploads float64) Segment {
	s := segment(phase, seconds, lookups, orders, uploads)
	s.UploadMin, s.UploadMax = longUploadMin, longUploadMax
	return s
}

// serviceOf returns the first service of a kind, or an empty one.
func serviceOf(f *firm.Firm, kind work.Kind) *settings.Service {
	for i := range f.Topology.Services {
		if f.Topology.Services[i].Kind == kind {
			return &f.Topology.Services[i]
		}
	}
	return &settings.Service{}
}

// slowNeighbourEvents slows down the first upstream of each of the first
// slowedUpstreams pools of a service at the given time, and delays the load
// reports of all its upstreams from the start.
func slowNeighbourEvents(s *settings.Service, from time.Duration) []Event {
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

// leaveUploadUpstreams makes the upload upstreams of the second region leave, so
// that the region's uploads load the links to the other regions.
func leaveUploadUpstreams(f *firm.Firm) []Event {
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

// maintenanceEvents puts the maintenance preset in force, drains an upstream and
// stops an instance in the first zone that has more than one.
func maintenanceEvents(f *firm.Firm, from time.Duration) []Event {
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

// regionShiftEvents puts the preset in force that drains the last region, and
// restarts the lookup upstreams of the other regions so that they are cold.
func regionShiftEvents(f *firm.Firm, from time.Duration) []Event {
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

// WarmUpName is the name of the trace that is replayed before the others.
const WarmUpName = "warm-up"

// WarmUp returns the scenario that warms up all upstreams.
func WarmUp() Scenario {
	return Scenario{Name: WarmUpName, Preset: Ordinary, Segments: []Segment{segment(Steady, 6, lightLoad, targetLoad, lightLoad)}}
}
