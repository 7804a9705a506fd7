package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/demo"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/work"
)

// trialFlags are the flags shared by commands that start a firm.
type trialFlags struct {
	Firm   string `help:"Name of the firm." default:"lantern-mount" enum:"lantern-mount,wijesekera"`
	Deploy string `help:"Directory of the firms." default:"deploy" type:"existingdir"`
	Seed   uint64 `help:"Seed of the load and the service times." default:"1"`
	Keep   string `help:"Directory for settings and logs; by default a temporary one that is removed after a success." type:"path"`
}

// trialOptions returns the options of the trial and a cleanup function to call
// with the error of the trial. The cleanup function removes a temporary directory if
// the error is nil, and keeps it after a failure.
func (f *trialFlags) trialOptions() (trial.Options, func(error), error) {
	self, err := os.Executable()
	if err != nil {
		return trial.Options{}, nil, err
	}
	o := trial.Options{Firm: filepath.Join(f.Deploy, f.Firm), Bin: filepath.Dir(self), Dir: f.Keep, Seed: f.Seed}
	if f.Keep != "" {
		return o, func(error) {}, nil
	}
	o.Dir, err = os.MkdirTemp("", "sycamoreledge-run-")
	return o, func(err error) {
		if err == nil {
			_ = os.RemoveAll(o.Dir)
		}
	}, err
}

// runCmd demonstrates a firm under load.
type runCmd struct {
	trialFlags
	Duration time.Duration `help:"How long callers send requests." default:"60s"`
	Lookups  float64       `help:"Share of the slots that lookups use." default:"0.15"`
	Orders   float64       `help:"Share of the slots that orders use." default:"0.15"`
	Uploads  float64       `help:"Share of the slots that uploads use." default:"0.05"`
}

// Run runs the demonstration.
func (c *runCmd) Run(ctx context.Context) error {
	opts, cleanup, err := c.trialOptions()
	if err != nil {
		return err
	}
	err = demo.Run(ctx, demo.Options{
		Options:  opts,
		Duration: c.Duration,
		Shares:   caller.Shares{work.Lookup: c.Lookups, work.Order: c.Orders, work.Upload: c.Uploads},
		Out:      os.Stdout,
	})
	cleanup(err)
	return err
}
