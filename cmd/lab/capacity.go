package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"sycamoreledge.example/internal/lab/capacity"
)

// capacityCmd measures the resources that an instance needs, by size of the fleet.
type capacityCmd struct {
	Members  []int         `help:"Fleet sizes, in instances." default:"8,80,800,2400"`
	WarmUp   time.Duration `help:"Warm-up before the measurement, in which a fleet fills its tables, on the fleet's simulated clock." default:"20s"`
	Time     time.Duration `help:"Length of the measurement, on the fleet's simulated clock; for lookups, in real time." default:"10s"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Parts    []string      `help:"Parts to measure: steady, spread, failures, platform, lookups." default:"steady,spread,platform,lookups"`
	Blocks   int           `help:"Number of callers' address blocks (/24) in the location table." default:"2000000"`
	Page     string        `help:"Page whose tables are replaced by the results." type:"existingfile"`
	sections []capacity.Section
}

// memoryLimitBytes keeps the process, with a fleet of 2,400 instances, below half
// the memory of a 32 GiB machine.
const memoryLimitBytes = 12 << 30

// Run measures the selected parts and prints their tables. The simulation of a
// fleet does not check the context, so cancellation ends the process with exit
// code 1.
func (c *capacityCmd) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { os.Exit(1) })()
	debug.SetMemoryLimit(memoryLimitBytes)
	if err := c.measureFleets(); err != nil {
		return err
	}
	if c.selected("platform") {
		c.measurePlatform(ctx)
	}
	if c.selected("lookups") {
		if err := c.measureLookups(); err != nil {
			return err
		}
	}
	if c.Page == "" {
		return nil
	}
	return capacity.WriteSections(c.Page, c.sections)
}

func (c *capacityCmd) selected(part string) bool { return slices.Contains(c.Parts, part) }

// addSection prints a table and stores it for the page.
func (c *capacityCmd) addSection(name, text string) {
	fmt.Printf("%s\n%s\n", name, text)
	c.sections = append(c.sections, capacity.Section{Name: name, Text: text})
}

// measureFleets simulates a fleet of each size and measures the selected parts.
func (c *capacityCmd) measureFleets() error {
	if !c.selected("steady") && !c.selected("spread") && !c.selected("failures") {
		return nil
	}
	var (
		steady []capacity.Steady
		spread []capacity.Spreading
		bursts []capacity.Burst
	)
	for _, members := range c.Members {
		shape, err := capacity.ShapeOf(members)
		if err != nil {
			return err
		}
		started := time.Now()
		f, heap := capacity.Settle(shape, c.Seed, c.WarmUp)
		steady = append(steady, capacity.MeasureSteady(f, shape, heap, c.Time))
		if c.selected("spread") {
			spread = append(spread, c.measureSpread(f)...)
		}
		if c.selected("failures") {
			bursts = append(bursts, f.Failures()...)
		}
		fmt.Fprintf(os.Stderr, "fleet of %d instances: measured in %v\n", members, time.Since(started).Round(time.Second))
	}
	if c.selected("steady") {
		c.addSection("steady", capacity.SteadyTable(steady))
		c.addSection("types", capacity.TypeTable(steady))
		c.addSection("sizes", capacity.SizeTable(steady))
		c.addSection("targets", capacity.TargetTable(steady))
	}
	if c.selected("spread") {
		c.addSection("spread", capacity.SpreadTable(spread))
	}
	if c.selected("failures") {
		c.addSection("failures", capacity.BurstTable(bursts))
	}
	return nil
}

// measureSpread measures the dissemination of two configurations: one that all
// watchers read from the platform, and one that a single watcher reads.
func (c *capacityCmd) measureSpread(f *capacity.Fleet) []capacity.Spreading {
	watchers := f.Watchers()
	return []capacity.Spreading{
		f.SpreadFrom("all watchers read it", 1, watchers),
		f.SpreadFrom("one watcher reads it", 2, watchers[:1]),
	}
}

// undisturbedDuration is how long calls to the platform are counted while the
// platform works normally.
const undisturbedDuration = 20 * time.Second

func (c *capacityCmd) measurePlatform(ctx context.Context) {
	var loads []capacity.PlatformLoad
	for _, members := range c.Members {
		shape, err := capacity.ShapeOf(members)
		if err != nil {
			continue
		}
		loads = append(loads, capacity.MeasurePlatform(ctx, shape.Zones, undisturbedDuration))
	}
	c.addSection("platform", capacity.PlatformTable(loads))
}

func (c *capacityCmd) measureLookups() error {
	shape, err := capacity.ShapeOf(slices.Max(c.Members))
	if err != nil {
		return err
	}
	blocks, table, err := capacity.MeasureBlocks(c.Blocks, shape.Zones, c.Seed)
	if err != nil {
		return err
	}
	lookups, err := capacity.MeasureLookups(shape, table, c.Seed, c.Time)
	if err != nil {
		return err
	}
	c.addSection("lookups", capacity.BlockTable(&blocks, &lookups))
	return nil
}
