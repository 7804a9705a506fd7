// Command lab runs the test environment of sycamoreledge: it simulates the
// platform, the upstreams, the links and the callers, replays traces and measures.
// It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli declares the commands for kong.
type cli struct {
	Generate  generateCmd  `cmd:"" help:"Write the files to run a firm on loopback addresses."`
	Platform  platformCmd  `cmd:"" help:"Serve the simulated platform of a run."`
	Upstreams upstreamsCmd `cmd:"" help:"Serve the simulated upstreams of one availability zone of a run."`
	Links     linksCmd     `cmd:"" help:"Simulate the links between the availability zones of a run, with delay, bandwidth limit and cuts."`
	Call      callCmd      `cmd:"" help:"Generate the load of the callers in one availability zone of a run."`
	Run       runCmd       `cmd:"" help:"Start a firm, demonstrate it under load and check the result."`
	Promises  promisesCmd  `cmd:"" help:"Run the fault cases and report which promises were kept."`
	Baseline  baselineCmd  `cmd:"" help:"Serve a plain proxy in place of an entry instance, for comparison."`
	Record    recordCmd    `cmd:"" help:"Record the traces of firms, replacing the recorded ones."`
	Measure   measureCmd   `cmd:"" help:"Replay the traces against real processes and print the measurements."`
	Report    reportCmd    `cmd:"" help:"Write the latest measurements as tables, CSV files and plots."`
	Capacity  capacityCmd  `cmd:"" help:"Measure the resources that an instance needs, by size of the fleet."`
}

// runFlags holds the flag for the directory that the generate command wrote.
type runFlags struct {
	Run string `help:"Directory of the run." required:"" type:"existingdir"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c,
		kong.Name("lab"),
		kong.Description("Test environment of sycamoreledge: simulated platform, upstreams, links and callers, fault cases and measurements."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		stop()
		os.Exit(1)
	}
}
