package caller

import (
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// Sizes of the standard load in bytes.
const (
	lookupAnswer  = 2 << 10
	orderBody     = 600
	orderAnswer   = 300
	uploadBodyMin = 64 << 10
	uploadBodyMax = 512 << 10
	uploadAnswer  = 200
)

// Bounds of the standard load.
const (
	// roomSeconds is how many seconds of arrivals may be in flight.
	roomSeconds = 4
	minRoom     = 20
	ownKeys     = 0.2
)

// Shares is the load of each kind as a fraction of all slots.
type Shares map[work.Kind]float64

// StandardLoads returns the load that uses the shares of the slots of a zone,
// with the deadlines of the preset.
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
			MaxInFlight: max(minRoom, int(rate*roomSeconds)),
			Deadline:    deadline(preset, service.Name),
		}
		shape(&load)
		loads = append(loads, load)
	}
	return loads
}

// shape sets the sizes of a load by its kind.
func shape(l *Load) {
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

// MeanTime is how long a warm upstream holds a slot for one request of the
// standard load.
func MeanTime(s firm.ServiceTime, kind work.Kind) time.Duration {
	mean := float64(s.ServiceTime) * (1 + s.StragglerShare*(s.StragglerFactor-1))
	if kind == work.Upload && s.TransferRate > 0 {
		const bitsPerMegabit = 1e6
		bits := float64(uploadBodyMin+uploadBodyMax) / 2 * 8
		mean += bits / (s.TransferRate * bitsPerMegabit) * float64(time.Second)
	}
	return time.Duration(mean)
}

// deadline is the one that the preset gives to a service.
func deadline(p *settings.Preset, service string) time.Duration {
	for _, s := range p.Services {
		if s.Name == service {
			return s.Deadline
		}
	}
	return time.Second
}
