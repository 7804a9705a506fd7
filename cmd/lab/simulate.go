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

// platformResponseTime is the response time of the simulated platform.
const platformResponseTime = 3 * time.Millisecond

// generateCmd writes the files of a run.
type generateCmd struct {
	Firm string `help:"Directory of the firm." default:"deploy/lantern-mount" type:"existingdir"`
	Out  string `help:"Directory to write the files to." required:"" type:"path"`
}

// Run writes the files and prints the addresses of the entry instances.
func (c *generateCmd) Run() error {
	f, err := firm.Load(c.Firm)
	if err != nil {
		return err
	}
	plan, err := firm.Generate(c.Out, f)
	if err != nil {
		return err
	}
	for _, e := range plan.Entries {
		fmt.Printf("%-12s callers %s operators %s\n", e.Name, e.Callers, e.Operators)
	}
	return nil
}

// platformCmd serves the simulated platform.
type platformCmd struct{ runFlags }

// Run serves until the context is cancelled.
func (c *platformCmd) Run(ctx context.Context) error {
	plan, err := firm.ReadPlan(c.runFlags.Run)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", plan.Platform)
	if err != nil {
		return err
	}
	server := platformsim.New(platformsim.Config{Latency: platformResponseTime})
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(ln)
}

// upstreamsCmd serves the simulated upstreams of one availability zone.
type upstreamsCmd struct {
	runFlags
	Zone string `help:"Availability zone." required:""`
	Seed uint64 `help:"Seed of the service times." default:"1"`
}

// Run serves until the context is cancelled.
func (c *upstreamsCmd) Run(ctx context.Context) error {
	plan, err := firm.ReadPlan(c.runFlags.Run)
	if err != nil {
		return err
	}
	return upstream.NewZone(plan, c.Zone, c.Seed).Run(ctx, plan.UpstreamAdmin[c.Zone])
}

// callCmd generates the load of the callers in one availability zone.
type callCmd struct {
	runFlags
	Zone     string        `help:"Availability zone of the callers." required:""`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Duration time.Duration `help:"How long to send requests." default:"10s"`
	Lookups  float64       `help:"Share of the slots that lookups use." default:"0.15"`
	Orders   float64       `help:"Share of the slots that orders use." default:"0.15"`
	Uploads  float64       `help:"Share of the slots that uploads use." default:"0.05"`
}

// Run sends the load. It then writes each operation that had an idempotency key or
// an invalid answer, followed by the totals, as lines of JSON to the standard output.
func (c *callCmd) Run(ctx context.Context) error {
	plan, err := firm.ReadPlan(filepath.Clean(c.runFlags.Run))
	if err != nil {
		return err
	}
	shares := caller.Shares{work.Lookup: c.Lookups, work.Order: c.Orders, work.Upload: c.Uploads}
	loads := caller.StandardLoads(plan, &plan.Presets[0], c.Zone, shares)
	generator := caller.New(caller.Config{Plan: plan, Zone: c.Zone, Seed: c.Seed, Loads: loads})
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	generator.Run(ctx)
	out := json.NewEncoder(os.Stdout)
	for _, op := range generator.Ops() {
		if err := out.Encode(op); err != nil {
			return err
		}
	}
	for _, t := range generator.Stats().Totals() {
		if err := out.Encode(t); err != nil {
			return err
		}
	}
	return nil
}
