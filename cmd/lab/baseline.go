package main

import (
	"context"

	"sycamoreledge.example/internal/lab/baseline"
	"sycamoreledge.example/internal/lab/firm"
)

// baselineCmd runs the baseline: a plain proxy in place of an entry instance.
type baselineCmd struct {
	runFlags
	Entry string `help:"Name of the entry instance to replace." required:""`
}

// Run serves until the context is cancelled, then finishes the requests in flight.
func (c *baselineCmd) Run(ctx context.Context) error {
	plan, err := firm.ReadPlan(c.runFlags.Run)
	if err != nil {
		return err
	}
	proxy, err := baseline.New(plan, c.Entry)
	if err != nil {
		return err
	}
	return proxy.Serve(ctx)
}
