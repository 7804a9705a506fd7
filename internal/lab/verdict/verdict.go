// Package verdict compares what callers were told with what the upstreams ran.
package verdict

import (
	"fmt"
	"strings"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/work"
)

// maxExamples bounds the examples kept of each kind of violation.
const maxExamples = 5

// Verdict counts violations, each with some examples.
type Verdict struct {
	// Doubled counts keys that had an effect more than once.
	Doubled int
	// Lost counts operations that were told run but that no upstream finished,
	// or finished with another body.
	Lost int
	// ToldNotRun counts operations that ran although an entry told at a later
	// time, or as the last word, that they had not been run.
	ToldNotRun int
	// Bad counts answers that looked whole and were not the request's own.
	Bad int
	// Unlabelled counts answers without an outcome.
	Unlabelled int
	// Over counts requests beyond an upstream's slots.
	Over int
	// AfterLeaving counts requests to upstreams that left.
	AfterLeaving int
	// Unasked counts effects of keys that no caller sent.
	Unasked  int
	Examples []string
}

// Judge compares the operations of all callers, which must have ended, with
// the ledger of all upstreams.
func Judge(ops []*caller.Op, l upstream.Ledger) Verdict {
	v := Verdict{}
	effects := map[string][]upstream.Record{}
	for _, r := range l.Records {
		if r.Effect() {
			effects[r.Key] = append(effects[r.Key], r)
		}
	}
	asked := map[string]bool{}
	for _, op := range ops {
		asked[op.Key] = true
		v.judgeOp(op, effects[op.Key])
	}
	for key, records := range effects {
		if len(records) > 1 {
			v.add(&v.Doubled, "doubled %s: %s", key, describe(records))
		}
		if !asked[key] {
			v.add(&v.Unasked, "unasked %s: %s", key, describe(records))
		}
	}
	for _, u := range l.Upstreams {
		v.addCount(&v.Over, int(u.Over), "over slots", u.Upstream)
		v.addCount(&v.AfterLeaving, int(u.AfterLeaving), "new work after leaving", u.Upstream)
	}
	return v
}

// judgeOp compares one operation with its effects.
func (v *Verdict) judgeOp(op *caller.Op, effects []upstream.Record) {
	if op.Bad != "" {
		v.add(&v.Bad, "bad answer to %s %s: %s", op.Service, op.Nonce, op.Bad)
	}
	if op.Unlabelled > 0 {
		v.add(&v.Unlabelled, "%d answers without outcome to %s %s", op.Unlabelled, op.Service, op.Nonce)
	}
	if op.Key == "" {
		return
	}
	if op.Outcome == work.Run && !finished(op, effects) {
		v.add(&v.Lost, "lost %s %s: told run by %s, ledger: %s", op.Service, op.Key, op.Upstream, describe(effects))
	}
	if told(op, effects) {
		v.add(&v.ToldNotRun, "told not run %s %s at %v (last word %s), ledger: %s", op.Service, op.Key, op.NotRun, op.Outcome, describe(effects))
	}
}

// finished reports whether an effect ran to its end with the operation's body.
func finished(op *caller.Op, effects []upstream.Record) bool {
	for _, r := range effects {
		if r.End == upstream.Done && r.Digest == op.Digest {
			return true
		}
	}
	return false
}

// told reports whether the caller was told not run against the ledger.
func told(op *caller.Op, effects []upstream.Record) bool {
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

// add counts a violation and keeps an example.
func (v *Verdict) add(count *int, format string, args ...any) {
	*count++
	if *count <= maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// addCount adds violations that were counted elsewhere.
func (v *Verdict) addCount(count *int, n int, what, where string) {
	if n > 0 {
		*count += n
		v.Examples = append(v.Examples, fmt.Sprintf("%s: %d at %s", what, n, where))
	}
}

// Held reports whether nothing was violated.
func (v Verdict) Held() bool {
	return v.Doubled+v.Lost+v.ToldNotRun+v.Bad+v.Unlabelled+v.Over+v.AfterLeaving+v.Unasked == 0
}

// String lists the counts in one line.
func (v Verdict) String() string {
	return fmt.Sprintf("doubled %d, lost %d, told not run %d, bad %d, without outcome %d, over slots %d, after leaving %d, unasked %d",
		v.Doubled, v.Lost, v.ToldNotRun, v.Bad, v.Unlabelled, v.Over, v.AfterLeaving, v.Unasked)
}

// describe shows records in short.
func describe(records []upstream.Record) string {
	if len(records) == 0 {
		return "nothing"
	}
	var parts []string
	for _, r := range records {
		parts = append(parts, fmt.Sprintf("%s at %s, %s to %s", r.End, r.Upstream, r.Start.Format("15:04:05.000"), r.Finish.Format("15:04:05.000")))
	}
	return strings.Join(parts, "; ")
}
