// Package demo shows a running firm for a while: live figures, a switch of the
// preset, drains and a failure, and a summary of what callers were told and
// upstreams ran.
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

// interval is the time between two lines of live figures.
const interval = time.Second

// Options says what to show.
type Options struct {
	trial.Options
	Duration time.Duration
	Shares   caller.Shares
	Out      io.Writer
}

// demo is one show.
type demo struct {
	Options
	*trial.Trial
	operator *client.Client
	load     *trial.Load
	started  time.Time

	mu     sync.Mutex
	failed []error
}

// Run shows the firm and returns an error when a step failed or a promise was
// broken.
func Run(ctx context.Context, o Options) error {
	d := &demo{Options: o}
	d.say("starting %s, seed %d, files and logs in %s", o.Firm, o.Seed, o.Dir)
	t, err := trial.Start(ctx, o.Options)
	if err != nil {
		return err
	}
	// Only a second call of Kill could find anything left after Stop.
	defer t.Cluster.Kill()
	d.Trial = t
	if d.operator, err = t.Operator("first"); err != nil {
		return err
	}
	if err := d.show(ctx); err != nil {
		return err
	}
	d.say("stopping all processes")
	d.fail(t.Cluster.Stop())
	return errs.Combine(d.failed...)
}

// show sends load, runs the steps and prints the summary.
func (d *demo) show(ctx context.Context) error {
	d.started = time.Now()
	d.load = d.StartLoad(ctx, trial.LoadOptions{Shares: d.Shares, Preset: &d.Plan.Presets[0]})
	timed, cancel := context.WithTimeout(ctx, d.Duration)
	defer cancel()
	var steps sync.WaitGroup
	for _, s := range d.steps() {
		steps.Go(func() { d.runStep(timed, s) })
	}
	d.live(timed)
	steps.Wait()
	if ctx.Err() != nil {
		return Error.New("interrupted")
	}
	d.say("callers stop; waiting for the operations under way")
	ops := d.load.Stop()
	d.fail(d.Save("operations.jsonl", ops))
	violations, err := d.Judge(ctx)
	if err != nil {
		return err
	}
	d.summarize(violations)
	if len(violations) > 0 {
		d.fail(Error.New("%d promises broken", len(violations)))
	}
	return nil
}

// summarize prints the totals and the violations.
func (d *demo) summarize(violations verdict.Violations) {
	d.say("summary")
	for _, t := range d.load.Stats.Totals() {
		d.print("  %-10s %-7s sent %d, run %d, not run %d, unknown %d; p50 %s, p99 %s, p99.9 %s; attempts %d, refusals %d, broken off %d, timed out %d, late %d, not started %d",
			t.Service, t.Kind, t.Sent, t.Run, t.NotRun, t.Unknown, ms(t.P50), ms(t.P99), ms(t.P999), t.Attempts, t.Refusals, t.Cut, t.TimedOut, t.Late, t.Skipped+t.NoKey)
	}
	for _, t := range d.load.Stats.Totals() {
		d.failures(t)
	}
	for _, kind := range []verdict.Kind{verdict.Doubled, verdict.Lost, verdict.ToldNotRun, verdict.Bad, verdict.Unlabelled, verdict.Over, verdict.AfterLeaving, verdict.Unasked} {
		d.print("  %-14s %d", kind, violations.Count(kind))
	}
	const maxExamples = 20
	for i, v := range violations {
		if i == maxExamples {
			d.print("  and %d more", len(violations)-i)
			break
		}
		d.print("  %s: %s (%d): %s", v.Kind, v.Subject, v.Count, v.Text)
	}
}

// failures prints why attempts of a service brought no answer.
func (d *demo) failures(t caller.Totals) {
	for _, cause := range caller.Causes(t, d.Plan.EntryAt) {
		d.print("  %-10s attempts %s", t.Service, cause)
	}
}

// say prints a line with the time since the start.
func (d *demo) say(format string, args ...any) {
	var at time.Duration
	if !d.started.IsZero() {
		at = time.Since(d.started)
	}
	d.print("%5.1fs  %s", at.Seconds(), fmt.Sprintf(format, args...))
}

// print writes one line.
func (d *demo) print(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.Out, format+"\n", args...)
}

// fail notes an error, if there is one.
func (d *demo) fail(err error) {
	if err == nil {
		return
	}
	d.say("FAILED: %v", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = append(d.failed, err)
}

// ms shows a latency in milliseconds.
func ms(t time.Duration) string { return fmt.Sprintf("%.0f ms", t.Seconds()*1e3) }
