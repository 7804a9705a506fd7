// Package promises drives a real firm through fault cases and checks after
// each what the system promises.
package promises

import (
	"fmt"

	"sycamoreledge.example/internal/lab/verdict"
)

// Promise is one of the things that must always hold.
type Promise string

// The promises.
const (
	Slots   Promise = "slots"
	Once    Promise = "once"
	NotRun  Promise = "not-run"
	Answers Promise = "answers"
	Leaving Promise = "leaving"
	Stops   Promise = "stops"
	Config  Promise = "config"
	Caps    Promise = "caps"
	// Headroom is kept free of requests from other zones.
	Headroom Promise = "headroom"
)

// kinds maps the violations found in ledgers to promises.
var kinds = map[verdict.Kind]Promise{
	verdict.Over:         Slots,
	verdict.Doubled:      Once,
	verdict.Unasked:      Once,
	verdict.Lost:         Once,
	verdict.ToldNotRun:   NotRun,
	verdict.Bad:          Answers,
	verdict.Unlabelled:   Answers,
	verdict.AfterLeaving: Leaving,
}

// Finding is a broken promise.
type Finding struct {
	Promise Promise
	Text    string
}

// Report is what came of one case.
type Report struct {
	Case string
	// Checked lists the promises that the case checks, in order.
	Checked  []Promise
	Findings []Finding
	// Counts describes the load in a few words.
	Counts string
	// Causes says why attempts brought no answer.
	Causes []string
	// Error is set when the case could not be carried out; nothing is proved
	// by it then.
	Error error
}

// broken adds a finding.
func (r *Report) broken(p Promise, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{p, fmt.Sprintf(format, args...)})
}

// violations adds what the ledgers show.
func (r *Report) violations(all verdict.Violations) {
	for _, v := range all {
		r.broken(kinds[v.Kind], "%s: %s (%d): %s", v.Kind, v.Subject, v.Count, v.Text)
	}
}

// of returns the findings about one promise.
func (r *Report) of(p Promise) []Finding {
	var out []Finding
	for _, f := range r.Findings {
		if f.Promise == p {
			out = append(out, f)
		}
	}
	return out
}

// promises returns the checked promises and all others that were found broken.
func (r *Report) promises() []Promise {
	out := append([]Promise(nil), r.Checked...)
	seen := map[Promise]bool{}
	for _, p := range out {
		seen[p] = true
	}
	for _, f := range r.Findings {
		if !seen[f.Promise] {
			seen[f.Promise] = true
			out = append(out, f.Promise)
		}
	}
	return out
}

// Held reports whether the case was carried out and broke no promise.
func (r *Report) Held() bool { return r.Error == nil && len(r.Findings) == 0 }
