package main

import (
	"context"
	"os"
	"regexp"

	"sycamoreledge.example/internal/lab/promises"
)

// promisesCmd runs the fault cases.
type promisesCmd struct {
	trialFlags
	Quick bool   `help:"Run a choice of the cases that ends within a few minutes."`
	Match string `help:"Run only cases whose name matches this regular expression."`
}

// Run carries out the cases.
func (c *promisesCmd) Run(ctx context.Context) error {
	match, err := regexp.Compile(c.Match)
	if err != nil {
		return err
	}
	o, end, err := c.options()
	if err != nil {
		return err
	}
	err = promises.Run(ctx, promises.Options{Options: o, Quick: c.Quick, Match: match, Out: os.Stdout})
	end(err)
	return err
}
