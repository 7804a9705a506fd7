package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"sycamoreledge.example/internal/lab/capacity"
)

// capacityCmd measures what an instance costs as the fleet grows.
type capacityCmd struct {
	Members []int         `help:"Sizes of the fleets." default:"8,80,800,2400"`
	WarmUp  time.Duration `help:"Time that a fleet gets to fill its tables, by its own clock." default:"20s"`
	Time    time.Duration `help:"Time that is measured, by the clock of the fleet." default:"10s"`
	Seed    uint64        `help:"Seed of the load." default:"1"`
}

// Run measures and prints the rows.
func (c *capacityCmd) Run(_ context.Context) error {
	var all []capacity.Steady
	for _, members := range c.Members {
		shape, err := capacity.ShapeOf(members)
		if err != nil {
			return err
		}
		begin := time.Now()
		f, heap := capacity.Settle(shape, c.Seed, c.WarmUp)
		all = append(all, capacity.MeasureSteady(f, shape, heap, c.Time))
		fmt.Fprintf(os.Stderr, "%d members: %v\n", members, time.Since(begin).Round(time.Millisecond))
	}
	fmt.Println(capacity.SteadyTable(all))
	fmt.Println(capacity.TypeTable(all))
	fmt.Println(capacity.SizeTable(all))
	fmt.Println(capacity.TargetTable(all))
	return nil
}
