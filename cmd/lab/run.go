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

// trialFlags are those of every command that starts a firm.
type trialFlags struct {
	Firm   string `help:"Name of the firm." default:"lantern-mount" enum:"lantern-mount,wijesekera"`
	Deploy string `help:"Directory of the firms." default:"deploy" type:"existingdir"`
	Seed   uint64 `help:"Seed of load and service times." default:"1"`
	Keep   string `help:"Directory for settings and logs; by default a temporary one that is removed after a success." type:"path"`
}

// options returns the options, and what to do at the end with the error.
func (f *trialFlags) options() (trial.Options, func(error), error) {
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

// runCmd shows a firm.
type runCmd struct {
	trialFlags
	Duration time.Duration `help:"How long callers send." default:"60s"`
	Lookups  float64       `help:"Share of the slots that lookups use." default:"0.15"`
	Orders   float64       `help:"Share of the slots that orders use." default:"0.15"`
	Uploads  float64       `help:"Share of the slots that uploads use." default:"0.05"`
}

// Run shows the firm.
func (c *runCmd) Run(ctx context.Context) error {
	o, end, err := c.options()
	if err != nil {
		return err
	}
	err = demo.Run(ctx, demo.Options{
		Options:  o,
		Duration: c.Duration,
		Shares:   caller.Shares{work.Lookup: c.Lookups, work.Order: c.Orders, work.Upload: c.Uploads},
		Out:      os.Stdout,
	})
	end(err)
	return err
}
