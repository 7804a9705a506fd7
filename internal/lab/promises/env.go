package promises

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/trial"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// env is what a case works with.
type env struct {
	*trial.Trial
	operator *client.Client
	shares   caller.Shares

	mu     sync.Mutex
	report *Report
	// accepted and refused are the operators' changes of the case.
	accepted, refused []string
}

// note keeps what an operator was told about a change. Of a change with an
// unknown fate nothing can be checked but that it has at most one record.
func (e *env) note(operation string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var refusal *client.APIError
	switch {
	case err == nil:
		e.accepted = append(e.accepted, operation)
	case errors.As(err, &refusal) && refusal.Answer.Code != wire.CodeUncertain:
		e.refused = append(e.refused, operation)
	}
}

// drain makes or undoes a drain.
func (e *env) drain(ctx context.Context, d settings.Drain, undo bool) error {
	operation := client.NewOperation()
	_, err := e.operator.Drain(ctx, client.Change{Operation: operation}, d, undo)
	e.note(operation, err)
	return err
}

// historyLimit is how many audit records are looked at: more than the changes
// of any case.
const historyLimit = 200

// checkAudit finds changes of the case without their audit record, records
// without a change, and gaps in the record.
func (e *env) checkAudit(ctx context.Context) error {
	history, err := e.operator.History(ctx, historyLimit)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	checkRecords(e.report, history.Records, e.accepted, e.refused)
	return nil
}

// checkRecords compares audit records, the newest first, with the operations
// that operators were told accepted or refused.
func checkRecords(r *Report, records []settings.AuditRecord, accepted, refused []string) {
	count := map[string]int{}
	for i, rec := range records {
		count[rec.Operation]++
		if i > 0 && rec.Sequence != records[i-1].Sequence-1 {
			r.broken(Config, "audit record %d stands beside %d", records[i-1].Sequence, rec.Sequence)
		}
	}
	for operation, n := range count {
		if n > 1 {
			r.broken(Config, "operation %s has %d audit records", operation, n)
		}
	}
	for _, operation := range accepted {
		if count[operation] == 0 {
			r.broken(Config, "accepted operation %s has no audit record", operation)
		}
	}
	for _, operation := range refused {
		if count[operation] > 0 {
			r.broken(Config, "refused operation %s has an audit record", operation)
		}
	}
}

// standardShares is the load of a case unless it says otherwise.
var standardShares = caller.Shares{work.Lookup: 0.1, work.Order: 0.2, work.Upload: 0.05}

// preset is the one whose deadlines the load uses.
func (e *env) preset() *settings.Preset { return e.Plan.Preset("ordinary") }

// broken adds a finding to the report of the case.
func (e *env) broken(p Promise, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.broken(p, format, args...)
}

// entries lists the names of all entries.
func (e *env) entries() []string {
	var names []string
	for _, x := range e.Plan.Entries {
		names = append(names, x.Name)
	}
	return names
}

// checkNoWork finds upstreams that got work after a time.
func (e *env) checkNoWork(ctx context.Context, names []string, after time.Time) error {
	counts, err := e.Cluster.Counts(ctx)
	if err != nil {
		return err
	}
	byName := map[string]upstream.Counts{}
	for _, c := range counts {
		byName[c.Upstream] = c
	}
	for _, name := range names {
		if late := byName[name].LastStart.Sub(after); late > 0 {
			e.broken(Leaving, "%s got work %s after the limit", name, late.Round(time.Millisecond))
		}
	}
	return nil
}

// describe notes the totals of a load in the report.
func (e *env) describe(totals []caller.Totals) {
	var sum caller.Totals
	var tails []string
	for _, t := range totals {
		sum.Sent += t.Sent
		sum.Run += t.Run
		sum.NotRun += t.NotRun
		sum.Unknown += t.Unknown
		sum.Refusals += t.Refusals
		sum.Cut += t.Cut
		sum.TimedOut += t.TimedOut
		sum.Unreached += t.Unreached
		sum.Late += t.Late
		sum.NoKey += t.NoKey + t.Skipped
		tails = append(tails, fmt.Sprintf("%s p99 %.0f ms", t.Kind, t.P99.Seconds()*1e3))
		for _, cause := range caller.Causes(t, e.Plan.EntryAt) {
			e.report.Causes = append(e.report.Causes, t.Service+" "+cause)
		}
	}
	e.report.Counts = fmt.Sprintf("sent %d run %d not-run %d unknown %d (refusals %d cut %d timed out %d unreached %d late %d not started %d), %s",
		sum.Sent, sum.Run, sum.NotRun, sum.Unknown, sum.Refusals, sum.Cut, sum.TimedOut, sum.Unreached, sum.Late, sum.NoKey, strings.Join(tails, ", "))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
