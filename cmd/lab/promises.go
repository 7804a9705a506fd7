package main

import (
	"context"
	"os"
	"regexp"

	"sycamoreledge.example/internal/lab/promises"
)

// promisesCmd runs the fault cases, which check the promises of the system.
type promisesCmd struct {
	trialFlags
	Quick bool   `help:"Run a subset of the cases that takes a few minutes."`
	Match string `help:"Run only cases whose name matches this regular expression."`
}

// Run runs the selected cases. It removes the temporary directory after a success.
func (c *promisesCmd) Run(ctx context.Context) error {
	match, err := regexp.Compile(c.Match)
	if err != nil {
		return err
	}
	opts, cleanup, err := c.trialOptions()
	if err != nil {
		return err
	}
	err = promises.Run(ctx, promises.Options{Options: opts, Quick: c.Quick, Match: match, Out: os.Stdout})
	cleanup(err)
	return err
}
