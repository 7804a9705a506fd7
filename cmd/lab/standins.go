package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/lab/platformsim"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/work"
)

// platformLatency is what the platform takes to answer.
const platformLatency = 3 * time.Millisecond

// generateCmd writes a run.
type generateCmd struct {
	Firm string `help:"Directory of the firm." default:"deploy/lantern-mount" type:"existingdir"`
	Out  string `help:"Directory to write." required:"" type:"path"`
}

// Run writes the run and prints where the entries are.
func (c *generateCmd) Run() error {
	f, err := firm.Load(c.Firm)
	if err != nil {
		return err
	}
	p, err := firm.Generate(c.Out, f)
	if err != nil {
		return err
	}
	for _, e := range p.Entries {
		fmt.Printf("%-12s callers %s operators %s\n", e.Name, e.Callers, e.Operators)
	}
	return nil
}

// platformCmd serves the platform.
type platformCmd struct{ runDir }

// Run serves until the context ends.
func (c *platformCmd) Run(ctx context.Context) error {
	p, err := firm.ReadPlan(c.runDir.Run)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.Platform)
	if err != nil {
		return err
	}
	s := platformsim.New(platformsim.Config{Latency: platformLatency})
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	return s.Serve(l)
}

// upstreamsCmd serves the upstreams of a zone.
type upstreamsCmd struct {
	runDir
	Zone string `help:"Availability zone." required:""`
	Seed uint64 `help:"Seed of the service times." default:"1"`
}

// Run serves until the context ends.
func (c *upstreamsCmd) Run(ctx context.Context) error {
	p, err := firm.ReadPlan(c.runDir.Run)
	if err != nil {
		return err
	}
	return upstream.NewZone(p, c.Zone, c.Seed).Run(ctx, p.UpstreamAdmin[c.Zone])
}

// callCmd sends load.
type callCmd struct {
	runDir
	Zone     string        `help:"Availability zone of the callers." required:""`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Duration time.Duration `help:"How long to send." default:"10s"`
	Lookups  float64       `help:"Share of the slots that lookups use." default:"0.15"`
	Orders   float64       `help:"Share of the slots that orders use." default:"0.15"`
	Uploads  float64       `help:"Share of the slots that uploads use." default:"0.05"`
}

// Run sends the load and writes each operation with a key, then the totals, as
// lines of JSON.
func (c *callCmd) Run(ctx context.Context) error {
	p, err := firm.ReadPlan(filepath.Clean(c.runDir.Run))
	if err != nil {
		return err
	}
	shares := caller.Shares{work.Lookup: c.Lookups, work.Order: c.Orders, work.Upload: c.Uploads}
	loads := caller.StandardLoads(p, &p.Presets[0], c.Zone, shares)
	x := caller.New(caller.Config{Plan: p, Zone: c.Zone, Seed: c.Seed, Loads: loads})
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	x.Run(ctx)
	out := json.NewEncoder(os.Stdout)
	for _, op := range x.Ops() {
		if err := out.Encode(op); err != nil {
			return err
		}
	}
	for _, t := range x.Stats().Totals() {
		if err := out.Encode(t); err != nil {
			return err
		}
	}
	return nil
}
