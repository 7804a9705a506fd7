// Package demo runs a firm under load for a limited time. It prints figures per
// interval, switches the preset, drains an upstream and an entry, kills an entry,
// and prints a summary of the outcomes at callers and upstreams.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/lab/verdict"
)

// Error is the class of errors of this package.
var Error = errs.Class("run")

// reportInterval is the time between two lines of figures.
const reportInterval = time.Second

// Options configures a run of the demo.
type Options struct {
	trial.Options
	Duration time.Duration
	Shares   caller.Shares
	Out      io.Writer
}

// demo is the state of one run.
type demo struct {
	Options
	*trial.Trial
	operator *client.Client
	load     *trial.Load
	started  time.Time

	mu     sync.Mutex
	errors []error
}

// Run runs the demo and returns an error when a step failed or a promise was
// violated.
func Run(ctx context.Context, o Options) error {
	d := &demo{Options: o}
	d.logf("starting %s, seed %d, files and logs in %s", o.Firm, o.Seed, o.Dir)
	t, err := trial.Start(ctx, o.Options)
	if err != nil {
		return err
	}
	// Kills the processes that still run on an early return; after a Stop that
	// succeeded none are left.
	defer t.Cluster.Kill()
	d.Trial = t
	if d.operator, err = t.Operator("first"); err != nil {
		return err
	}
	if err := d.runSteps(ctx); err != nil {
		return err
	}
	d.logf("stopping all processes")
	d.recordError(t.Cluster.Stop())
	return errs.Combine(d.errors...)
}

// runSteps generates load, runs the steps and prints the summary.
func (d *demo) runSteps(ctx context.Context) error {
	d.started = time.Now()
	d.load = d.StartLoad(ctx, trial.LoadOptions{Shares: d.Shares, Preset: &d.Plan.Presets[0]})
	timed, cancel := context.WithTimeout(ctx, d.Duration)
	defer cancel()
	var steps sync.WaitGroup
	for _, s := range d.steps() {
		steps.Go(func() { d.runStep(timed, s) })
	}
	d.reportIntervals(timed)
	steps.Wait()
	if ctx.Err() != nil {
		return Error.New("interrupted")
	}
	d.logf("stopping load; waiting for operations in flight")
	ops := d.load.Stop()
	d.recordError(d.Save("operations.jsonl", ops))
	violations, err := d.Judge(ctx)
	if err != nil {
		return err
	}
	d.summarize(violations)
	if len(violations) > 0 {
		d.recordError(Error.New("%d promises broken", len(violations)))
	}
	return nil
}

// summarize prints the totals and the violations.
func (d *demo) summarize(violations verdict.Violations) {
	d.logf("summary")
	for _, t := range d.load.Stats.Totals() {
		d.printf("  %-10s %-7s sent %d, run %d, not run %d, unknown %d; p50 %s, p99 %s, p99.9 %s; attempts %d, refusals %d, broken off %d, timed out %d, late %d, not started %d",
			t.Service, t.Kind, t.Sent, t.Run, t.NotRun, t.Unknown, formatMillis(t.P50), formatMillis(t.P99), formatMillis(t.P999), t.Attempts, t.Refusals, t.Cut, t.TimedOut, t.Late, t.Skipped+t.NoKey)
	}
	for _, t := range d.load.Stats.Totals() {
		d.printFailureCauses(t)
	}
	for _, kind := range []verdict.Kind{verdict.Doubled, verdict.Lost, verdict.ToldNotRun, verdict.Bad, verdict.Unlabelled, verdict.Over, verdict.AfterLeaving, verdict.Unasked} {
		d.printf("  %-14s %d", kind, violations.Count(kind))
	}
	const maxExamples = 20
	for i, v := range violations {
		if i == maxExamples {
			d.printf("  and %d more", len(violations)-i)
			break
		}
		d.printf("  %s: %s (%d): %s", v.Kind, v.Subject, v.Count, v.Text)
	}
}

// printFailureCauses prints why attempts at a service got no response.
func (d *demo) printFailureCauses(t caller.Totals) {
	for _, cause := range caller.Causes(t, d.Plan.EntryAt) {
		d.printf("  %-10s attempts %s", t.Service, cause)
	}
}

// logf prints a line with the time since the start.
func (d *demo) logf(format string, args ...any) {
	var at time.Duration
	if !d.started.IsZero() {
		at = time.Since(d.started)
	}
	d.printf("%5.1fs  %s", at.Seconds(), fmt.Sprintf(format, args...))
}

// printf writes one line to Out. It is safe for concurrent use.
func (d *demo) printf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.Out, format+"\n", args...)
}

// recordError prints a non-nil error and adds it to the errors that Run returns.
func (d *demo) recordError(err error) {
	if err == nil {
		return
	}
	d.logf("FAILED: %v", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errors = append(d.errors, err)
}

// formatMillis formats a latency in whole milliseconds.
func formatMillis(t time.Duration) string { return fmt.Sprintf("%.0f ms", t.Seconds()*1e3) }
