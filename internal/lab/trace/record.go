package trace

import (
	"math/rand/v2"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// OwnKeys is the fraction of idempotency keys that callers generate themselves.
const OwnKeys = 0.2

// Segment is the load of one phase of a scenario.
type Segment struct {
	Phase string
	For   time.Duration
	// Shares is the load of each kind of work as a fraction of its slots.
	Shares caller.Shares
	// UploadMin and UploadMax bound the size of an upload in bytes.
	UploadMin, UploadMax int
}

// Scenario describes the load and the events from which a trace is generated.
type Scenario struct {
	Name     string
	Preset   string
	Segments []Segment
	Events   []Event
}

// Record generates the trace of a scenario. The same seed gives the same trace.
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
		t.drawSends(f, g, start, end, random)
		start = end
	}
	return t
}

// drawSends appends the sends of a segment: Poisson arrivals whose rate in each
// zone is proportional to the zone's slots.
func (t *Trace) drawSends(f *firm.Firm, g Segment, start, end time.Duration, random *rand.Rand) {
	sources, total := arrivalRates(f, g)
	if total <= 0 {
		return
	}
	at := start
	for {
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= end {
			return
		}
		s := sourceAt(sources, random.Float64()*total)
		sizeDraw, ownDraw := random.Float64(), random.Float64()
		send := Send{At: at.Truncate(Resolution), Service: s.serviceIndex, Zone: s.zoneIndex}
		switch t.Services[s.serviceIndex].Kind {
		case work.Order:
			send.Size = caller.OrderBody
			send.Own = ownDraw < OwnKeys
		case work.Upload:
			send.Size = g.UploadMin + int(sizeDraw*float64(g.UploadMax-g.UploadMin))
			send.Own = ownDraw < OwnKeys
		}
		t.Sends = append(t.Sends, send)
	}
}

// source is the load on one service from one zone. The rate is in operations per
// second.
type source struct {
	serviceIndex, zoneIndex int
	rate                    float64
}

// arrivalRates returns the sources of a segment and the sum of their rates.
func arrivalRates(f *firm.Firm, g Segment) ([]source, float64) {
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

// Mean returns how long a request of the segment occupies a slot of a warm
// upstream on average.
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

// sourceAt returns the source at an offset into the cumulative rates, which
// selects sources in proportion to their rates.
func sourceAt(sources []source, offset float64) source {
	for _, s := range sources {
		if offset < s.rate {
			return s
		}
		offset -= s.rate
	}
	return sources[len(sources)-1]
}
