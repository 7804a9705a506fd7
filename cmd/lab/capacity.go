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

// capacityCmd measures what an instance costs as the fleet grows.
type capacityCmd struct {
	Members  []int         `help:"Sizes of the fleets." default:"8,80,800,2400"`
	WarmUp   time.Duration `help:"Time that a fleet gets to fill its tables, by its own clock." default:"20s"`
	Time     time.Duration `help:"Time that is measured, by the clock of the fleet." default:"10s"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
	Parts    []string      `help:"What is measured: steady, spread, failures, platform, lookups." default:"steady,spread,platform,lookups"`
	Blocks   int           `help:"Number of blocks of callers." default:"2000000"`
	Page     string        `help:"Page whose tables are replaced." type:"existingfile"`
	sections []capacity.Section
}

// memoryLimit keeps the fleet of 2,400 below half of a machine of 32 GiB.
const memoryLimit = 12 << 30

// Run measures and prints the rows. A fleet in the middle of its steps does not
// look at the context, so that its end ends the process.
func (c *capacityCmd) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { os.Exit(1) })()
	debug.SetMemoryLimit(memoryLimit)
	if err := c.fleets(); err != nil {
		return err
	}
	if c.wants("platform") {
		c.platform(ctx)
	}
	if c.wants("lookups") {
		if err := c.lookups(); err != nil {
			return err
		}
	}
	if c.Page == "" {
		return nil
	}
	return capacity.WriteSections(c.Page, c.sections)
}

func (c *capacityCmd) wants(part string) bool { return slices.Contains(c.Parts, part) }

// show prints a table and keeps it for the page.
func (c *capacityCmd) show(name, text string) {
	fmt.Printf("%s\n%s\n", name, text)
	c.sections = append(c.sections, capacity.Section{Name: name, Text: text})
}

// fleets steps the fleets of all sizes.
func (c *capacityCmd) fleets() error {
	if !c.wants("steady") && !c.wants("spread") && !c.wants("failures") {
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
		begin := time.Now()
		f, heap := capacity.Settle(shape, c.Seed, c.WarmUp)
		steady = append(steady, capacity.MeasureSteady(f, shape, heap, c.Time))
		if c.wants("spread") {
			spread = append(spread, c.spread(f)...)
		}
		if c.wants("failures") {
			bursts = append(bursts, f.Failures()...)
		}
		fmt.Fprintf(os.Stderr, "%d members: %v\n", members, time.Since(begin).Round(time.Second))
	}
	if c.wants("steady") {
		c.show("steady", capacity.SteadyTable(steady))
		c.show("types", capacity.TypeTable(steady))
		c.show("sizes", capacity.SizeTable(steady))
		c.show("targets", capacity.TargetTable(steady))
	}
	if c.wants("spread") {
		c.show("spread", capacity.SpreadTable(spread))
	}
	if c.wants("failures") {
		c.show("failures", capacity.BurstTable(bursts))
	}
	return nil
}

// spread follows two configurations: one that all watchers get from the
// platform, and one that a single watcher gets.
func (c *capacityCmd) spread(f *capacity.Fleet) []capacity.Spreading {
	watchers := f.Watchers()
	return []capacity.Spreading{
		f.SpreadFrom("all watchers read it", 1, watchers),
		f.SpreadFrom("one watcher reads it", 2, watchers[:1]),
	}
}

// undisturbed is how long the calls to the platform are counted.
const undisturbed = 20 * time.Second

func (c *capacityCmd) platform(ctx context.Context) {
	var all []capacity.PlatformLoad
	for _, members := range c.Members {
		shape, err := capacity.ShapeOf(members)
		if err != nil {
			continue
		}
		all = append(all, capacity.MeasurePlatform(ctx, shape.Zones, undisturbed))
	}
	c.show("platform", capacity.PlatformTable(all))
}

func (c *capacityCmd) lookups() error {
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
	c.show("lookups", capacity.BlockTable(&blocks, &lookups))
	return nil
}
