package promises

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/lab/trial"
)

// Error is the class of errors of this package.
var Error = errs.Class("promises")

// caseTimeout bounds one case.
const caseTimeout = 3 * time.Minute

// maxFindings is how many findings of one promise are printed.
const maxFindings = 6

// Options says which cases to run.
type Options struct {
	trial.Options
	Quick bool
	// Match selects cases by name; nil is all.
	Match *regexp.Regexp
	Out   io.Writer
}

// runner runs cases on one cluster as long as that stays sound.
type runner struct {
	Options
	trial  *trial.Trial
	starts int
	broken int
	failed int
	held   int
}

// Run carries out the cases and returns an error when a promise was broken or
// a case could not be carried out.
func Run(ctx context.Context, o Options) error {
	r := &runner{Options: o}
	defer r.stop()
	for _, c := range Cases() {
		if (o.Quick && !c.Quick) || (o.Match != nil && !o.Match.MatchString(c.Name)) {
			continue
		}
		if err := r.runCase(ctx, c); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.Out, "held %d, broken %d, not carried out %d\n", r.held, r.broken, r.failed)
	if r.broken+r.failed > 0 {
		return Error.New("%d promises broken, %d cases not carried out", r.broken, r.failed)
	}
	if r.held == 0 {
		return Error.New("no case was run")
	}
	return nil
}

// runCase runs one case and prints its lines.
func (r *runner) runCase(ctx context.Context, c *Case) error {
	if err := r.start(ctx, c); err != nil {
		return err
	}
	begin := time.Now()
	report := r.report(ctx, c)
	if ctx.Err() != nil {
		return Error.New("interrupted")
	}
	r.print(report, time.Since(begin))
	if !report.Held() || c.options != nil {
		// Nothing may rest on a cluster in which something went wrong, or
		// that was started for one case.
		r.stop()
	}
	return nil
}

// report carries out a case and judges it.
func (r *runner) report(ctx context.Context, c *Case) *Report {
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	report := &Report{Case: c.Name, Checked: c.promises()}
	operator, err := r.trial.Operator("first")
	if err != nil {
		report.Error = err
		return report
	}
	e := &env{Trial: r.trial, operator: operator, shares: standardShares, report: report}
	report.Error = c.run(ctx, e)
	violations, err := r.trial.Judge(ctx)
	report.violations(violations)
	report.Error = errs.Combine(report.Error, err)
	return report
}

// start makes sure that a cluster runs as the case wants it.
func (r *runner) start(ctx context.Context, c *Case) error {
	if c.options != nil {
		r.stop()
	}
	if r.trial != nil {
		return nil
	}
	r.starts++
	o := r.Options.Options
	if c.options != nil {
		c.options(&o)
	}
	o.Dir = filepath.Join(o.Dir, fmt.Sprintf("run-%d", r.starts))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	t, err := trial.Start(ctx, o)
	if err != nil {
		return err
	}
	r.trial = t
	return nil
}

// stop ends the cluster at once.
func (r *runner) stop() {
	if r.trial != nil {
		r.trial.Cluster.Kill()
		r.trial = nil
	}
}

// print writes a line for each promise of a case.
func (r *runner) print(report *Report, took time.Duration) {
	if report.Error != nil {
		r.failed++
		fmt.Fprintf(r.Out, "NOT CARRIED OUT %s (seed %d): %v\n", report.Case, r.Seed, report.Error)
	}
	defer r.printCauses(report)
	for _, p := range report.promises() {
		findings := report.of(p)
		word := "held"
		switch {
		case len(findings) > 0:
			word = "BROKEN"
			r.broken++
		case report.Error != nil:
			continue
		default:
			r.held++
		}
		fmt.Fprintf(r.Out, "%-6s %-8s %-45s findings %d, seed %d, %.0fs; %s\n", word, p, report.Case, len(findings), r.Seed, took.Seconds(), report.Counts)
		for i, f := range findings {
			if i == maxFindings {
				fmt.Fprintf(r.Out, "         and %d more\n", len(findings)-i)
				break
			}
			fmt.Fprintf(r.Out, "         %s\n", f.Text)
		}
	}
}

// maxCauses is how many causes are printed of a case that held.
const maxCauses = 4

// printCauses says why attempts brought no answer, all of it after a finding.
func (r *runner) printCauses(report *Report) {
	for i, cause := range report.Causes {
		if i == maxCauses && report.Held() {
			fmt.Fprintf(r.Out, "         and %d more causes\n", len(report.Causes)-i)
			return
		}
		fmt.Fprintf(r.Out, "         attempts %s\n", cause)
	}
}
