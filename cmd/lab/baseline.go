package main

import (
	"context"

	"sycamoreledge.example/internal/lab/baseline"
	"sycamoreledge.example/internal/lab/firm"
)

// baselineCmd serves a plain proxy in place of an entry.
type baselineCmd struct {
	runDir
	Entry string `help:"Name of the entry." required:""`
}

// Run serves until the context ends, then finishes what is in flight.
func (c *baselineCmd) Run(ctx context.Context) error {
	p, err := firm.ReadPlan(c.runDir.Run)
	if err != nil {
		return err
	}
	x, err := baseline.New(p, c.Entry)
	if err != nil {
		return err
	}
	return x.Serve(ctx)
}
