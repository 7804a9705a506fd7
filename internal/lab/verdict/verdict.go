// Package verdict checks the outcomes reported to callers against the
// executions that the upstreams recorded.
package verdict

import (
	"fmt"
	"strings"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/work"
)

// Kind is the kind of a violation.
type Kind string

// The kinds of violations.
const (
	// Doubled: a key took effect more than once.
	Doubled Kind = "doubled"
	// Lost: the caller was told that the operation ran, but no upstream
	// completed it with the operation's body.
	Lost Kind = "lost"
	// ToldNotRun: the operation ran, although an entry instance reported "not
	// run" after the execution had started, or as the final outcome.
	ToldNotRun Kind = "told not run"
	// Bad: an answer looked complete but did not belong to the request.
	Bad Kind = "bad answer"
	// Unlabelled: an answer carried no outcome.
	Unlabelled Kind = "no outcome"
	// Over: a request exceeded an upstream's slots.
	Over Kind = "over slots"
	// AfterLeaving: a request reached an upstream that had left.
	AfterLeaving Kind = "after leaving"
	// Unasked: an execution took effect under a key that no caller sent.
	Unasked Kind = "unasked"
)

// Violation is a promise that was broken for one subject.
type Violation struct {
	Kind Kind
	// Subject is the idempotency key, nonce or upstream concerned.
	Subject string
	// Count is the number of occurrences for the subject.
	Count int
	Text  string
}

// Violations are the findings of one check.
type Violations []Violation

// Count returns the sum of the counts of a kind's violations.
func (v Violations) Count(kind Kind) int {
	n := 0
	for i := range v {
		if v[i].Kind == kind {
			n += v[i].Count
		}
	}
	return n
}

// Judge checks the operations of all callers against the ledger of all
// upstreams. All operations must have ended.
func Judge(ops []*caller.Op, ledger upstream.Ledger) Violations {
	var v Violations
	effects := map[string][]upstream.Record{}
	var keys []string
	for _, r := range ledger.Records {
		if !r.Effect() {
			continue
		}
		if effects[r.Key] == nil {
			keys = append(keys, r.Key)
		}
		effects[r.Key] = append(effects[r.Key], r)
	}
	asked := map[string]bool{}
	for _, op := range ops {
		asked[op.Key] = true
		v.judgeOp(op, effects[op.Key])
	}
	for _, key := range keys {
		if records := effects[key]; len(records) > 1 {
			v.add(Doubled, key, 1, formatRecords(records))
		}
		if !asked[key] {
			v.add(Unasked, key, 1, formatRecords(effects[key]))
		}
	}
	for _, u := range ledger.Upstreams {
		v.add(Over, u.Upstream, int(u.Over), fmt.Sprintf("%d slots", u.Slots))
		v.add(AfterLeaving, u.Upstream, int(u.AfterLeaving), "")
	}
	return v
}

// judgeOp checks one operation against the executions that took effect under
// its key.
func (v *Violations) judgeOp(op *caller.Op, effects []upstream.Record) {
	if op.Bad != "" {
		v.add(Bad, op.Nonce, 1, op.Service+": "+op.Bad)
	}
	v.add(Unlabelled, op.Nonce, op.Unlabelled, op.Service)
	if op.Key == "" {
		return
	}
	if op.Outcome == work.Run && !completed(op, effects) {
		v.add(Lost, op.Key, 1, fmt.Sprintf("%s: caller was told that %q ran it, ledger has: %s", op.Service, op.Upstream, formatRecords(effects)))
	}
	if contradictsNotRun(op, effects) {
		v.add(ToldNotRun, op.Key, 1, fmt.Sprintf("%s: caller was told \"not run\" at [%s], final outcome %s (%s), ledger has: %s",
			op.Service, formatNotRunTimes(op), op.Outcome, op.Reason, formatRecords(effects)))
	}
}

// completed reports whether an execution completed with the operation's body.
func completed(op *caller.Op, effects []upstream.Record) bool {
	for _, r := range effects {
		if r.End == upstream.Done && r.Digest == op.Digest {
			return true
		}
	}
	return false
}

// contradictsNotRun reports whether an execution contradicts a "not run" that
// the caller received: any execution if "not run" is the final outcome,
// otherwise one that started before the "not run" arrived.
func contradictsNotRun(op *caller.Op, effects []upstream.Record) bool {
	if op.Outcome == work.NotRun && len(op.NotRun) > 0 && len(effects) > 0 {
		return true
	}
	for _, at := range op.NotRun {
		for _, r := range effects {
			if r.Start.Before(at) {
				return true
			}
		}
	}
	return false
}

// add appends a violation if its count is above 0.
func (v *Violations) add(kind Kind, subject string, count int, text string) {
	if count > 0 {
		*v = append(*v, Violation{Kind: kind, Subject: subject, Count: count, Text: text})
	}
}

const timeLayout = "15:04:05.000"

// formatNotRunTimes lists the times at which the caller received "not run".
func formatNotRunTimes(op *caller.Op) string {
	var parts []string
	for _, at := range op.NotRun {
		parts = append(parts, at.Format(timeLayout))
	}
	return strings.Join(parts, ", ")
}

// formatRecords lists the end, upstream and times of each record.
func formatRecords(records []upstream.Record) string {
	if len(records) == 0 {
		return "nothing"
	}
	var parts []string
	for _, r := range records {
		parts = append(parts, fmt.Sprintf("%s at %s, %s to %s", r.End, r.Upstream, r.Start.Format(timeLayout), r.Finish.Format(timeLayout)))
	}
	return strings.Join(parts, "; ")
}
