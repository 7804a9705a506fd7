package trace

import (
	"math/rand/v2"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// OwnKeys is the share of the keys that callers make themselves.
const OwnKeys = 0.2

// Segment is the load of one phase of a scenario.
type Segment struct {
	Phase string
	For   time.Duration
	// Shares is the load of each kind as a fraction of the slots.
	Shares caller.Shares
	// UploadMin and UploadMax bound the size of an upload in bytes.
	UploadMin, UploadMax int
}

// Scenario is what a trace is recorded from.
type Scenario struct {
	Name     string
	Preset   string
	Segments []Segment
	Events   []Event
}

// Record draws the trace of a scenario. The same seed gives the same trace.
func Record(f *firm.Firm, s Scenario, seed uint64) *Trace {
	t := &Trace{Firm: f.Topology.Firm, Name: s.Name, Seed: seed, Preset: s.Preset, Zones: firm.Zones(&f.Topology), Events: s.Events}
	for _, service := range f.Topology.Services {
		t.Services = append(t.Services, Service{Name: service.Name, Kind: service.Kind})
	}
	random := rand.New(rand.NewPCG(seed, 0))
	var start time.Duration
	for _, g := range s.Segments {
		end := start + g.For
		t.Phases = append(t.Phases, Phase{Name: g.Phase, Start: start, End: end})
		t.record(f, g, start, end, random)
		start = end
	}
	return t
}

// record draws the sends of a segment: Poisson arrivals whose rate follows the
// slots of each zone.
func (t *Trace) record(f *firm.Firm, g Segment, start, end time.Duration, random *rand.Rand) {
	sources, total := rates(f, g)
	if total <= 0 {
		return
	}
	at := start
	for {
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= end {
			return
		}
		s := pick(sources, random.Float64()*total)
		size, own := random.Float64(), random.Float64()
		send := Send{At: at.Truncate(Resolution), Service: s.service, Zone: s.zone}
		switch t.Services[s.service].Kind {
		case work.Order:
			send.Size = caller.OrderBody
			send.Own = own < OwnKeys
		case work.Upload:
			send.Size = g.UploadMin + int(size*float64(g.UploadMax-g.UploadMin))
			send.Own = own < OwnKeys
		}
		t.Sends = append(t.Sends, send)
	}
}

// source is the load of one service from one zone, in operations per second.
type source struct {
	service, zone int
	rate          float64
}

// rates returns the sources of a segment and their sum.
func rates(f *firm.Firm, g Segment) ([]source, float64) {
	var all []source
	var total float64
	for i, service := range f.Topology.Services {
		mean := Mean(&f.World, &service, g)
		for j, zone := range firm.Zones(&f.Topology) {
			rate := g.Shares[service.Kind] * float64(firm.ZoneSlots(&service, zone)) / mean.Seconds()
			if rate > 0 {
				all = append(all, source{i, j, rate})
				total += rate
			}
		}
	}
	return all, total
}

// Mean is how long a warm upstream holds a slot for a request of the segment.
func Mean(w *firm.World, service *settings.Service, g Segment) time.Duration {
	times := w.ServiceTimeOf(service.Name)
	mean := caller.MeanTime(times, work.Lookup)
	if service.Kind == work.Upload && times.TransferRate > 0 {
		const bitsPerMegabit = 1e6
		bits := float64(g.UploadMin+g.UploadMax) / 2 * 8
		mean += time.Duration(bits / (times.TransferRate * bitsPerMegabit) * float64(time.Second))
	}
	return mean
}

// pick returns the source in which the point lies.
func pick(sources []source, point float64) source {
	for _, s := range sources {
		if point < s.rate {
			return s
		}
		point -= s.rate
	}
	return sources[len(sources)-1]
}
