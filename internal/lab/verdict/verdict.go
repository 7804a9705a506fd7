// Package verdict compares what callers were told with what the upstreams ran.
package verdict

import (
	"fmt"
	"strings"

	"sycamoreledge.example/internal/lab/caller"
	"sycamoreledge.example/internal/lab/upstream"
	"sycamoreledge.example/internal/work"
)

// Kind classifies violations.
type Kind string

// The kinds of violations.
const (
	// Doubled keys had an effect more than once.
	Doubled Kind = "doubled"
	// Lost operations were told run but no upstream finished them, or one
	// finished them with another body.
	Lost Kind = "lost"
	// ToldNotRun operations ran although an entry told at a later time, or as
	// the last word, that they had not been run.
	ToldNotRun Kind = "told not run"
	// Bad answers looked whole and were not the request's own.
	Bad Kind = "bad answer"
	// Unlabelled answers had no outcome.
	Unlabelled Kind = "no outcome"
	// Over requests came beyond an upstream's slots.
	Over Kind = "over slots"
	// AfterLeaving requests came to upstreams that left.
	AfterLeaving Kind = "after leaving"
	// Unasked effects had keys that no caller sent.
	Unasked Kind = "unasked"
)

// Violation is one broken promise.
type Violation struct {
	Kind Kind
	// Subject is the key, nonce or upstream.
	Subject string
	// Count is how often it happened to the subject.
	Count int
	Text  string
}

// Violations are those of one comparison.
type Violations []Violation

// Count sums the violations of a kind.
func (v Violations) Count(kind Kind) int {
	n := 0
	for i := range v {
		if v[i].Kind == kind {
			n += v[i].Count
		}
	}
	return n
}

// Judge compares the operations of all callers, which must have ended, with
// the ledger of all upstreams.
func Judge(ops []*caller.Op, l upstream.Ledger) Violations {
	var v Violations
	effects := map[string][]upstream.Record{}
	var keys []string
	for _, r := range l.Records {
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
			v.add(Doubled, key, 1, describe(records))
		}
		if !asked[key] {
			v.add(Unasked, key, 1, describe(effects[key]))
		}
	}
	for _, u := range l.Upstreams {
		v.add(Over, u.Upstream, int(u.Over), fmt.Sprintf("%d slots", u.Slots))
		v.add(AfterLeaving, u.Upstream, int(u.AfterLeaving), "")
	}
	return v
}

// judgeOp compares one operation with its effects.
func (v *Violations) judgeOp(op *caller.Op, effects []upstream.Record) {
	if op.Bad != "" {
		v.add(Bad, op.Nonce, 1, op.Service+": "+op.Bad)
	}
	v.add(Unlabelled, op.Nonce, op.Unlabelled, op.Service)
	if op.Key == "" {
		return
	}
	if op.Outcome == work.Run && !finished(op, effects) {
		v.add(Lost, op.Key, 1, fmt.Sprintf("%s, told run by %q, ledger: %s", op.Service, op.Upstream, describe(effects)))
	}
	if told(op, effects) {
		v.add(ToldNotRun, op.Key, 1, fmt.Sprintf("%s, told at %s, last word %s (%s), ledger: %s",
			op.Service, times(op), op.Outcome, op.Reason, describe(effects)))
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

// add notes a violation that happened at least once.
func (v *Violations) add(kind Kind, subject string, count int, text string) {
	if count > 0 {
		*v = append(*v, Violation{Kind: kind, Subject: subject, Count: count, Text: text})
	}
}

// clock is how times are shown.
const clock = "15:04:05.000"

// times lists when an operation was told not run.
func times(op *caller.Op) string {
	var parts []string
	for _, at := range op.NotRun {
		parts = append(parts, at.Format(clock))
	}
	return strings.Join(parts, ", ")
}

// describe shows records in short.
func describe(records []upstream.Record) string {
	if len(records) == 0 {
		return "nothing"
	}
	var parts []string
	for _, r := range records {
		parts = append(parts, fmt.Sprintf("%s at %s, %s to %s", r.End, r.Upstream, r.Start.Format(clock), r.Finish.Format(clock)))
	}
	return strings.Join(parts, "; ")
}
