// Command lab starts the stand-ins of the platform, the upstreams, the links
// and the callers, replays traces and measures. It is never shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Generate  generateCmd  `cmd:"" help:"Write a run of a firm on loopback addresses."`
	Platform  platformCmd  `cmd:"" help:"Serve the stand-in of the platform of a run."`
	Upstreams upstreamsCmd `cmd:"" help:"Serve the upstreams of one availability zone of a run."`
	Links     linksCmd     `cmd:"" help:"Forward between the availability zones of a run with delay, rate and cuts."`
	Call      callCmd      `cmd:"" help:"Send the callers' load of one availability zone of a run."`
	Run       runCmd       `cmd:"" help:"Start a firm, show it for a while and judge what came of it."`
	Promises  promisesCmd  `cmd:"" help:"Run the fault cases and tell which promises held."`
	Baseline  baselineCmd  `cmd:"" help:"Serve a plain proxy in place of an entry, for comparison."`
	Record    recordCmd    `cmd:"" help:"Record the traces of a firm anew."`
	Measure   measureCmd   `cmd:"" help:"Replay the traces against real processes and print the figures."`
	Report    reportCmd    `cmd:"" help:"Write the figures of the last measurements as tables, CSV and plots."`
	Capacity  capacityCmd  `cmd:"" help:"Measure what an instance costs as the fleet grows."`
}

// runDir names the directory that generate wrote.
type runDir struct {
	Run string `help:"Directory of the run." required:"" type:"existingdir"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var c cli
	k := kong.Parse(&c,
		kong.Name("lab"),
		kong.Description("Stand-ins of what surrounds sycamoreledge, and trials of it."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		stop()
		os.Exit(1)
	}
}
