package caller

import (
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Body sizes of the standard load in bytes.
const (
	lookupAnswer  = 2 << 10
	orderBody     = 600
	orderAnswer   = 300
	uploadBodyMin = 64 << 10
	uploadBodyMax = 512 << 10
	uploadAnswer  = 200
)

// Further parameters of the standard load.
const (
	// inFlightSeconds is how many seconds of arrivals may be in flight.
	inFlightSeconds = 4
	minInFlight     = 20
	ownKeys         = 0.2
)

// Shares is the load of each kind of work as a fraction of its slots.
type Shares map[work.Kind]float64

// StandardLoads returns the loads that occupy the given shares of the zone's
// slots, with the deadlines of the preset.
func StandardLoads(p *firm.Plan, preset *settings.Preset, zone string, shares Shares) []Load {
	var loads []Load
	for _, service := range p.Topology.Services {
		slots := firm.ZoneSlots(&service, zone)
		mean := MeanTime(p.World.ServiceTimeOf(service.Name), service.Kind)
		rate := shares[service.Kind] * float64(slots) / mean.Seconds()
		if rate <= 0 {
			continue
		}
		load := Load{
			Service:     service.Name,
			Kind:        service.Kind,
			Rate:        rate,
			MaxInFlight: max(minInFlight, int(rate*inFlightSeconds)),
			Deadline:    deadline(preset, service.Name),
		}
		setSizes(&load)
		loads = append(loads, load)
	}
	return loads
}

// setSizes sets the body sizes and the fraction of own keys by kind.
func setSizes(l *Load) {
	switch l.Kind {
	case work.Lookup:
		l.AnswerSize = lookupAnswer
	case work.Order:
		l.BodyMin, l.BodyMax, l.AnswerSize = orderBody, orderBody, orderAnswer
		l.OwnKeys = ownKeys
	default:
		l.BodyMin, l.BodyMax, l.AnswerSize = uploadBodyMin, uploadBodyMax, uploadAnswer
		l.OwnKeys = ownKeys
	}
}

// MeanTime returns how long a request of the standard load occupies a slot of a
// warm upstream on average.
func MeanTime(s firm.ServiceTime, kind work.Kind) time.Duration {
	mean := float64(s.ServiceTime) * (1 + s.StragglerShare*(s.StragglerFactor-1))
	if kind == work.Upload && s.TransferRate > 0 {
		const bitsPerMegabit = 1e6
		bits := float64(uploadBodyMin+uploadBodyMax) / 2 * 8
		mean += bits / (s.TransferRate * bitsPerMegabit) * float64(time.Second)
	}
	return time.Duration(mean)
}

// deadline returns the service's deadline in the preset, or 1 s if it has none.
func deadline(p *settings.Preset, service string) time.Duration {
	for _, s := range p.Services {
		if s.Name == service {
			return s.Deadline
		}
	}
	return time.Second
}
