package link

import (
	"time"

	"sycamoreledge.example/internal/lab/firm"
)

// ConfigOf derives the forwards, delays and rates from the plan of a run.
func ConfigOf(p *firm.Plan) Config {
	config := Config{
		Delay: func(from, to Zone) time.Duration {
			l := p.Topology.Link(from.Region, to.Region)
			if from.Region == to.Region || l == nil {
				return p.World.ZoneLatency
			}
			return l.OneWay()
		},
		Rate: func(from, to string) float64 {
			if l := p.Topology.Link(from, to); l != nil {
				return l.BytesPerSecond()
			}
			return 0
		},
	}
	for region, zone := range p.Topology.Zones() {
		config.Zones = append(config.Zones, Zone{Name: zone.Name, Region: region.Name})
	}
	for _, f := range p.Forwards {
		config.Forwards = append(config.Forwards, Forward{
			From:     f.From,
			To:       f.To,
			Network:  f.Network,
			Listen:   f.Listen,
			Target:   f.Target,
			Platform: f.Target == p.Platform,
		})
	}
	return config
}
