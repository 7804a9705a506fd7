package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/link"
)

// linksCmd serves the networks between the availability zones.
type linksCmd struct{ runDir }

// Run serves until the context ends.
func (c *linksCmd) Run(ctx context.Context) error {
	p, err := firm.ReadPlan(c.runDir.Run)
	if err != nil {
		return err
	}
	links, err := link.New(linkConfig(p))
	if err != nil {
		return err
	}
	defer links.Close()
	ln, err := net.Listen("tcp", p.LinkAdmin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/lab/links", links)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// linkConfig derives delays and rates from the firm.
func linkConfig(p *firm.Plan) link.Config {
	config := link.Config{
		Delay: func(from, to link.Zone) time.Duration {
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
		config.Zones = append(config.Zones, link.Zone{Name: zone.Name, Region: region.Name})
	}
	for _, f := range p.Forwards {
		config.Forwards = append(config.Forwards, link.Forward{
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
