package measure

import (
	"fmt"
	"strings"
	"time"

	"sycamoreledge.example/internal/lab/trace"
	"sycamoreledge.example/internal/lab/verdict"
	"sycamoreledge.example/internal/work"
)

// Target is a measure with its limit and what was measured.
type Target struct {
	Trace  string  `json:"trace"`
	Name   string  `json:"name"`
	Weight int     `json:"weight"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	// AtLeast turns the limit into a lower one.
	AtLeast bool   `json:"at_least,omitempty"`
	Unit    string `json:"unit,omitempty"`
	// Beside is what the other systems reached, where known.
	Beside map[System]float64 `json:"beside,omitempty"`
	// Missing is set when the run holds no figure for it, Invalid when a
	// replay that it rests on was late with its sends.
	Missing bool `json:"missing,omitempty"`
	Invalid bool `json:"invalid,omitempty"`
}

// Reached reports whether the value keeps the limit.
func (t *Target) Reached() bool {
	switch {
	case t.Missing, t.Invalid:
		return false
	case t.AtLeast:
		return t.Value >= t.Limit
	default:
		return t.Value <= t.Limit
	}
}

// String returns the verdict in words.
func (t *Target) String() string {
	switch {
	case t.Missing:
		return "not run"
	case t.Invalid:
		return "invalid, sends late"
	case t.Reached():
		return "reached"
	default:
		return "NOT reached"
	}
}

// limitOverhead is the most that an entry may add to a direct call.
const limitOverhead = time.Millisecond

// overheadWeight is that of the overhead of an entry.
const overheadWeight = 2

// Judge fills in the targets of the stated outcomes. Capacity is the number of
// lookups that all upstreams can run in a second.
func (r *Result) Judge(outcomes []*Outcome, capacity float64) {
	r.Targets = nil
	for _, o := range outcomes {
		for _, l := range o.Limits {
			r.Targets = append(r.Targets, r.target(o.Trace, l, capacity))
		}
	}
	overhead := Target{Name: "overhead of an entry at the median", Weight: overheadWeight, Unit: "ms", Limit: inMillis(limitOverhead), Missing: r.Overhead == nil}
	if r.Overhead != nil {
		overhead.Value = inMillis(r.Overhead.Entry - r.Overhead.Direct)
	}
	r.Targets = append(r.Targets, overhead)
}

// target evaluates one limit for all systems.
func (r *Result) target(name string, l Limit, capacity float64) Target {
	t := Target{Trace: name, Name: l.name(), Weight: l.Weight, Unit: l.unit(), Beside: map[System]float64{}}
	if l.AtLeast != nil {
		t.Limit, t.AtLeast = *l.AtLeast, true
	} else {
		t.Limit = *l.AtMost
	}
	value, ok := r.value(Steer, name, l, capacity)
	t.Value, t.Missing = value, !ok
	t.Invalid = l.timed() && (r.late(Steer, name) || (l.Against == string(Baseline) && r.late(Baseline, name)))
	for _, s := range []System{Baseline, Ideal} {
		if string(s) == l.Against {
			continue
		}
		if v, ok := r.value(s, name, l, capacity); ok {
			t.Beside[s] = v
		}
	}
	return t
}

// timed reports whether the measure depends on the machine's speed. Promises
// hold on any machine.
func (l *Limit) timed() bool {
	return l.Measure.ofRow() && l.Measure != Unknown
}

// late reports whether a replay of a trace was late with its sends.
func (r *Result) late(s System, name string) bool {
	for i := range r.Replays {
		if p := &r.Replays[i]; p.System == s && p.Trace == name && !p.Valid() {
			return true
		}
	}
	return false
}

// name describes the limit.
func (l *Limit) name() string {
	parts := []string{string(l.Measure)}
	if l.Kind != "" {
		parts = append(parts, "of "+string(l.Kind)+"s, "+l.Phase)
	}
	if l.Against != "" {
		parts = append(parts, "/ "+l.Against)
	}
	return strings.Join(parts, " ")
}

// unit is that of the value.
func (l *Limit) unit() string {
	switch {
	case l.Measure == Drained:
		return "s"
	case l.Measure == Refusal, (l.Measure == P50 || l.Measure == P99) && l.Against == "":
		return "ms"
	default:
		return ""
	}
}

// value computes a measure of a system; false means that there is no figure.
func (r *Result) value(s System, name string, l Limit, capacity float64) (float64, bool) {
	if !l.Measure.ofRow() {
		return r.ofReplay(s, name, l.Measure)
	}
	row := r.find(s, name, l.Phase, l.Kind)
	if row == nil {
		return 0, false
	}
	value, ok := row.value(l.Measure, capacity)
	if !ok || l.Against == "" {
		return value, ok
	}
	other := r.find(s, name, l.Against, l.Kind)
	switch System(l.Against) {
	case Baseline, Ideal, Steer:
		other = r.find(System(l.Against), name, l.Phase, l.Kind)
	}
	if other == nil {
		return 0, false
	}
	against, ok := other.value(l.Measure, capacity)
	if !ok || against == 0 {
		return 0, false
	}
	return value / against, true
}

// find returns the row of a kind in a phase of a trace, or nil.
func (r *Result) find(s System, name, phase string, kind work.Kind) *Row {
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.System == s && row.Trace == name && row.Phase == phase && row.Kind == kind {
			return row
		}
	}
	return nil
}

// value computes a measure of a row; false means that nothing was observed.
func (r *Row) value(m Measure, capacity float64) (float64, bool) {
	switch m {
	case P50:
		return inMillis(r.P50), r.Run > 0
	case P99:
		return inMillis(r.P99), r.Run > 0
	case Goodput:
		return r.Goodput / capacity, capacity > 0
	case Refusal:
		return inMillis(r.RefusalMax), r.NotRun > 0
	case Missed:
		return float64(r.Missed) / float64(r.Sent), r.Sent > 0
	default:
		return float64(r.Unknown) / float64(r.Sent), r.Sent > 0
	}
}

// violations maps measures to what the verdict counts.
var violations = map[Measure]verdict.Kind{
	Over:         verdict.Over,
	Repeated:     verdict.Doubled,
	Lost:         verdict.Lost,
	ToldNotRun:   verdict.ToldNotRun,
	AfterLeaving: verdict.AfterLeaving,
	Bad:          verdict.Bad,
}

// ofReplay computes a measure of a whole replay.
func (r *Result) ofReplay(s System, name string, m Measure) (float64, bool) {
	for i := range r.Replays {
		p := &r.Replays[i]
		if p.System == s && p.Trace == name {
			return p.value(m)
		}
	}
	return 0, false
}

// value computes a measure; false means that nothing was observed.
func (r *Replay) value(m Measure) (float64, bool) {
	switch m {
	case Cut:
		return float64(r.Cut + len(r.Problems)), true
	case Extra:
		return r.Attempts.Extra(), r.Attempts.First > 0
	case Drained:
		last := r.lastStart()
		return last.Seconds(), r.has(trace.DrainUpstream)
	default:
		return float64(r.Violations[violations[m]]), true
	}
}

// has reports whether a drain or stop of the kind took place.
func (r *Replay) has(a trace.Action) bool {
	for _, d := range r.Drains {
		if d.Action == a {
			return true
		}
	}
	return false
}

// inMillis returns the duration in milliseconds.
func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Missed returns the targets that were not reached or not run, for the end of
// a printed report.
func (r *Result) Missed() []string {
	var all []string
	for i := range r.Targets {
		if t := &r.Targets[i]; !t.Reached() {
			all = append(all, fmt.Sprintf("%s %s: %s", t.Trace, t.Name, t))
		}
	}
	return all
}
